/**
 * Sends a call until it is answered or no further attempt is allowed. No other
 * module of this folder retries requests.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {
	type BackendServerId, type CallId, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {mergeVerdicts, type Verdict} from '../common/verdict.js';
import {listServers, type Directory, type DirectoryServer} from '../directory/directory.js';
import {type QuarantineDecision} from '../quarantine/suspect-table.js';
import {describeRefusal, type Quarantine} from '../quarantine/quarantine.js';
import {type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {chooseTrialServer} from '../quarantine/trial-server.js';
import {chooseServer} from '../routing/choose-server.js';
import {type ServerLoads} from '../routing/server-load.js';
import {isLeavingNotice, readServerLimit} from '../server-notices/server-notice.js';
import {type CallSettings} from '../settings/settings.js';
import {type Timeline} from '../timeline/timeline.js';
import {
	createFailure, type AnsweredAttempt, type Attempt, type AttemptResult, type FailedAttempt, type HeaderMap,
} from './attempt.js';
import {type CallPlan} from './call-plan.js';
import {type GateClient} from './gate-client.js';
import {noticeHeaders} from './headers.js';
import {type LocalServers} from './local-servers.js';
import {type RequestBody} from './request-body.js';
import {type RetryBudget} from './retry-budget.js';

/** The services and settings that attempts use. @internal */
export type AttemptContext = {
	readonly self: NodeId;
	readonly domain: FailureDomain;
	readonly settings: CallSettings;
	readonly getDirectory: () => Directory;
	readonly loads: ServerLoads;
	readonly localServers: LocalServers;
	readonly gateClient: GateClient;
	readonly budget: RetryBudget;
	readonly quarantine: Pick<Quarantine, 'check'>;
	readonly timeline: Timeline;
	readonly random: () => number;
};

/** A call to send. @internal */
export type OutgoingCall = {
	readonly call: CallId;
	readonly plan: CallPlan;
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderMap;
	readonly body: RequestBody;
	readonly deadline: number;
	readonly signal: AbortSignal;
	/** Fingerprint by which the quarantine recognizes the request; `undefined` for a streamed body. */
	readonly fingerprint: LazyFingerprint | undefined;
};

/** Result of a call. @internal */
export type CallResult = {
	readonly result: AnsweredAttempt | FailedAttempt;
	/** The joined verdict of all attempts. */
	readonly verdict: Verdict;
	readonly attempts: number;
	readonly server: BackendServerId | undefined;
};

/** Returns whether the request may crash any server that executes it. Such a request is not retried at another server. */
const isCrashSuspected = ({reason}: FailedAttempt): boolean => reason === 'server-crashed' || reason === 'quarantined';

/** Lists the servers that may get the request. For a request on trial, this is a single server, chosen by a hash from those that are neither draining nor ejected by this node, so that nodes choose the same one where possible. */
function listCandidates({getDirectory, loads}: AttemptContext, service: string, quarantineDecision: QuarantineDecision): readonly DirectoryServer[] {
	const servers = listServers(getDirectory(), service);
	if (quarantineDecision.type !== 'trial') {
		return servers;
	}

	const available = servers.filter(({server: {id, isDraining}}) => !isDraining && loads.get(id).ejectedUntil <= readNow());
	return chooseTrialServer(quarantineDecision.fingerprint, available.map(one => ({...one, lifetime: toLifetimeKey(one.server)})));
}

/** Creates the failure of a call for which there is no server: the limits of all are used up, or there is none that could accept it. */
function createUnsentFailure({getDirectory, loads}: AttemptContext, service: string): FailedAttempt {
	const now = readNow();
	const waits = listServers(getDirectory(), service).map(({server}) => loads.get(server.id).limitedUntil - now).filter(waitMs => waitMs > 0);
	return waits.length > 0
		? createFailure('not-run', 'limited', `the limits of the backend servers of ${service} are used up`, Math.ceil(Math.min(...waits)))
		: createFailure('not-run', 'no-server', `no known backend server of ${service} can accept the request`);
}

function createAttempt({self, loads}: AttemptContext, target: DirectoryServer, outgoing: OutgoingCall): Omit<Attempt, 'body'> {
	const {call, method, path, headers, deadline, signal, plan, fingerprint} = outgoing;
	return {
		call, method, path, headers, deadline, signal, fingerprint, workClass: plan.decision.workClass, entry: self, limitPerSecond: loads.get(target.server.id).limitPerSecond,
	};
}

async function sendBuffered(context: AttemptContext, target: DirectoryServer, attempt: Attempt): Promise<AttemptResult> {
	const {server, node} = target;
	return node.id === context.self
		? context.localServers.send(server.id, attempt)
		: context.gateClient.send(node.gateAddress, server.id, attempt);
}

/** Reserves a slot before any byte of a large body is sent: a rejected upload costs nothing and can be sent to another server. */
async function sendStreamed(context: AttemptContext, target: DirectoryServer, attempt: Omit<Attempt, 'body'>, open: () => Attempt['body']): Promise<AttemptResult> {
	const {server, node} = target;
	if (node.id === context.self) {
		const reserved = await context.localServers.reserve(server.id, attempt);
		return reserved.match(
			async ticket => context.localServers.send(server.id, {...attempt, ticket, body: open()}),
			async ({type, retryAfterMs}) => createFailure('not-run', type, `the gate of ${server.id} rejected the upload (${type})`, retryAfterMs),
		);
	}

	const reserved = await context.gateClient.reserve(node.gateAddress, server.id, {...attempt, body: undefined});
	return typeof reserved === 'string'
		? context.gateClient.send(node.gateAddress, server.id, {...attempt, ticket: reserved, body: open()})
		: reserved;
}

async function sendAttempt(context: AttemptContext, target: DirectoryServer, outgoing: OutgoingCall): Promise<AttemptResult> {
	const attempt = createAttempt(context, target, outgoing);
	const {body} = outgoing;
	switch (body.type) {
		case 'none': {
			return sendBuffered(context, target, {...attempt, body: undefined});
		}

		case 'held': {
			return sendBuffered(context, target, {...attempt, body: body.bytes});
		}

		case 'stream': {
			return sendStreamed(context, target, attempt, body.open);
		}
	}
}

/** Records what a backend server says of itself in a response. The node beside the server records a limit that cannot be read. */
function recordNotices({loads}: AttemptContext, {server, node}: DirectoryServer, {headers}: AnsweredAttempt): void {
	const limit = readServerLimit(headers, noticeHeaders);
	if (limit.isOk()) {
		loads.recordLimit(server.id, limit.value);
	}

	if (isLeavingNotice(headers, noticeHeaders)) {
		loads.recordLeaving(server.id, {startedAt: server.startedAt, epoch: node.epoch});
	}
}

/** Updates the load and ejection of a server from the result of an attempt. The load and ejection that this node observes take precedence over the directory. */
function recordResult(context: AttemptContext, target: DirectoryServer, call: CallId, result: AttemptResult): void {
	const {loads, settings, timeline} = context;
	const {id} = target.server;
	if (result.type === 'answered') {
		loads.recordReport(id, result.load);
		recordNotices(context, target, result);
		return;
	}

	timeline.record({
		kind: 'attempt-failed', call, server: id, verdict: result.verdict, reason: result.reason,
	});
	if (result.reason === 'unreachable' || result.reason === 'connection-lost' || result.reason === 'server-crashed' || result.reason === 'no-server' || result.reason === 'draining') {
		const forMs = loads.eject(id, settings.ejectionMs);
		timeline.record({
			kind: 'server-ejected', server: id, reason: result.reason, forMs,
		});
	}

	if (result.reason === 'limited') {
		loads.recordLimited(id, result.retryAfterMs * (1 + context.random()));
	}

	if (result.reason === 'shed') {
		loads.recordReport(id, target.server.slots * 2);
	}
}

function mayRetry(outgoing: OutgoingCall, verdict: Verdict, attempts: number): boolean {
	const {decision} = outgoing.plan;
	const isSafe = verdict === 'not-run' || decision.isRepeatable;
	return isSafe && attempts < decision.attempts && !outgoing.signal.aborted && readNow() < outgoing.deadline;
}

/**
 * Sends a call until it is answered or no further attempt is allowed.
 *
 * @param context - The services and settings that attempts use.
 * @param outgoing - The call.
 * @returns The result of the call. A failure is returned as soon as no further attempt is allowed, without waiting for the deadline.
 * @internal
 */
export async function runAttempts(context: AttemptContext, outgoing: OutgoingCall): Promise<CallResult> {
	const {plan, call} = outgoing;
	const tried = new Set<BackendServerId>();
	let verdict: Verdict = 'not-run';
	let last: {readonly failure: FailedAttempt; readonly server: BackendServerId} | undefined;
	let isStreamOpen = false;
	const watched: OutgoingCall = outgoing.body.type === 'stream'
		? {
			...outgoing, body: createWatchedBody(outgoing.body, () => {
				isStreamOpen = true;
			}),
		}
		: outgoing;
	context.budget.recordCall();

	for (let attempts = 0; ; attempts++) {
		const quarantineDecision: QuarantineDecision = outgoing.fingerprint === undefined ? {type: 'free'} : context.quarantine.check(outgoing.fingerprint);
		if (quarantineDecision.type === 'refused') {
			return {
				result: createFailure('not-run', 'quarantined', describeRefusal(quarantineDecision), quarantineDecision.retryAfterMs), verdict, attempts, server: undefined,
			};
		}

		const target = chooseServer({
			servers: listCandidates(context, plan.pool.service, quarantineDecision),
			pool: plan.pool,
			domain: context.domain,
			tried,
			// After a lost connection, the same server may answer a retry. A server that shed the request or is unreachable would probably fail again.
			mayReuse: last?.failure.reason === 'connection-lost',
			getLoad: context.loads.get,
			now: readNow(),
			random: context.random,
		});
		if (target === undefined) {
			return {
				result: last?.failure ?? createUnsentFailure(context, plan.pool.service), verdict, attempts, server: undefined,
			};
		}

		// Only now is it certain that the attempt is made, so that the budget counts no others.
		if (last !== undefined && !context.budget.tryAcquire()) {
			return {
				result: last.failure, verdict, attempts, server: last.server,
			};
		}

		const {id} = target.server;
		tried.add(id);
		context.loads.recordStart(id);
		const sentAt = readNow();
		const result = await sendAttempt(context, target, watched);
		recordResult(context, target, call, result);
		if (result.type === 'answered' || result.reason === 'timeout') {
			context.loads.recordLatency(id, Math.max(1, readNow() - sentAt));
		}

		if (result.type === 'answered') {
			result.body.once('close', () => {
				context.loads.recordEnd(id);
			});
			return {
				result, verdict: 'ran', attempts: attempts + 1, server: id,
			};
		}

		context.loads.recordEnd(id);
		last = {failure: result, server: id};
		verdict = mergeVerdicts(verdict, result.verdict);
		if (isStreamOpen || quarantineDecision.type === 'trial' || isCrashSuspected(result) || !mayRetry(outgoing, verdict, attempts + 1)) {
			return {
				result, verdict, attempts: attempts + 1, server: id,
			};
		}
	}
}

type StreamBody = Extract<RequestBody, {readonly type: 'stream'}>;

/** Returns a body that calls `handleOpen` before it opens the stream. An opened stream cannot be sent again from its beginning. */
function createWatchedBody(body: StreamBody, handleOpen: () => void): StreamBody {
	return {
		type: 'stream',
		open() {
			handleOpen();
			return body.open();
		},
	};
}
