/**
 * Sends a request until it has an answer or nothing more may be tried. This is
 * the only place in the mesh that sends anything again.
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
import {type CallSettings} from '../settings/settings.js';
import {type Timeline} from '../timeline/timeline.js';
import {
	createFailure, type AnsweredAttempt, type Attempt, type AttemptResult, type FailedAttempt, type HeaderMap,
} from './attempt.js';
import {type CallPlan} from './call-plan.js';
import {type GateClient} from './gate-client.js';
import {type LocalServers} from './local-servers.js';
import {type RequestBody} from './request-body.js';
import {type RetryBudget} from './retry-budget.js';

/** What attempts are made with. @internal */
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

/** A call that is to be sent. @internal */
export type OutgoingCall = {
	readonly call: CallId;
	readonly plan: CallPlan;
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderMap;
	readonly body: RequestBody;
	readonly deadline: number;
	readonly signal: AbortSignal;
	/** It as the quarantine looks at it; `undefined` for a body that is streamed. */
	readonly mark: LazyFingerprint | undefined;
};

/** How a call ended. @internal */
export type CallResult = {
	readonly result: AnsweredAttempt | FailedAttempt;
	/** What holds for all attempts together. */
	readonly verdict: Verdict;
	readonly attempts: number;
	readonly server: BackendServerId | undefined;
};

/** Whether a request may crash whatever runs it, so that it goes to no other server of its own accord. */
const isSuspected = ({reason}: FailedAttempt): boolean => reason === 'server-crashed' || reason === 'quarantined';

/** A request on trial has one server for all nodes, of those that this node has no reason to leave out. */
function listFor({getDirectory, loads}: AttemptContext, service: string, judgement: QuarantineDecision): readonly DirectoryServer[] {
	const servers = listServers(getDirectory(), service);
	if (judgement.type !== 'trial') {
		return servers;
	}

	const sound = servers.filter(({server: {id, isDraining}}) => !isDraining && loads.get(id).ejectedUntil <= readNow());
	return chooseTrialServer(judgement.fingerprint, sound.map(one => ({...one, lifetime: toLifetimeKey(one.server)})));
}

const createNoServer = (service: string): FailedAttempt => createFailure('not-run', 'no-server', `no backend server of ${service} is known that could take the request`);

function createAttempt(outgoing: OutgoingCall): Omit<Attempt, 'body'> {
	const {call, method, path, headers, deadline, signal, plan, mark} = outgoing;
	return {
		call, method, path, headers, deadline, signal, mark, workClass: plan.decision.workClass,
	};
}

async function sendHeld(context: AttemptContext, target: DirectoryServer, attempt: Attempt): Promise<AttemptResult> {
	const {server, node} = target;
	return node.id === context.self
		? context.localServers.send(server.id, attempt)
		: context.gateClient.send(node.gateAddress, server.id, attempt);
}

/** Reserves a slot before a byte of a large body moves: an upload that is turned away costs nothing and can go elsewhere. */
async function sendStream(context: AttemptContext, target: DirectoryServer, attempt: Omit<Attempt, 'body'>, open: () => Attempt['body']): Promise<AttemptResult> {
	const {server, node} = target;
	if (node.id === context.self) {
		const reserved = await context.localServers.reserve(server.id, {workClass: attempt.workClass, deadline: attempt.deadline, signal: attempt.signal});
		return reserved.match(
			async ticket => context.localServers.send(server.id, {...attempt, ticket, body: open()}),
			async ({type, retryAfterMs}) => createFailure('not-run', type, `the gate of ${server.id} turned the upload away (${type})`, retryAfterMs),
		);
	}

	const reserved = await context.gateClient.reserve(node.gateAddress, server.id, {...attempt, body: undefined});
	return typeof reserved === 'string'
		? context.gateClient.send(node.gateAddress, server.id, {...attempt, ticket: reserved, body: open()})
		: reserved;
}

async function sendOnce(context: AttemptContext, target: DirectoryServer, outgoing: OutgoingCall): Promise<AttemptResult> {
	const attempt = createAttempt(outgoing);
	const {body} = outgoing;
	switch (body.type) {
		case 'none': {
			return sendHeld(context, target, {...attempt, body: undefined});
		}

		case 'held': {
			return sendHeld(context, target, {...attempt, body: body.bytes});
		}

		case 'stream': {
			return sendStream(context, target, attempt, body.open);
		}
	}
}

/** What a call saw of a server goes before what the directory says of it. */
function noteResult(context: AttemptContext, target: DirectoryServer, call: CallId, result: AttemptResult): void {
	const {loads, settings, timeline} = context;
	const {id} = target.server;
	if (result.type === 'answered') {
		loads.report(id, result.load);
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

	if (result.reason === 'shed') {
		loads.report(id, target.server.slots * 2);
	}
}

function mayRetry(context: AttemptContext, outgoing: OutgoingCall, verdict: Verdict, attempts: number): boolean {
	const {decision} = outgoing.plan;
	const isSafe = verdict === 'not-run' || decision.isRepeatable;
	return isSafe && attempts < decision.attempts && !outgoing.signal.aborted && readNow() < outgoing.deadline && context.budget.take();
}

/**
 * Sends a call until it is answered or must be given up.
 *
 * @param context - What attempts are made with.
 * @param outgoing - The call.
 * @returns How it ended. It is given up at once: nothing is held back until the deadline.
 * @internal
 */
export async function runAttempts(context: AttemptContext, outgoing: OutgoingCall): Promise<CallResult> {
	const {plan, call} = outgoing;
	const tried = new Set<BackendServerId>();
	let verdict: Verdict = 'not-run';
	let last: FailedAttempt = createNoServer(plan.pool.service);
	let isStreamOpen = false;
	const watched: OutgoingCall = outgoing.body.type === 'stream'
		? {
			...outgoing, body: watchOpening(outgoing.body, () => {
				isStreamOpen = true;
			}),
		}
		: outgoing;
	context.budget.noteCall();

	for (let attempts = 0; ; attempts++) {
		const judgement: QuarantineDecision = outgoing.mark === undefined ? {type: 'free'} : context.quarantine.check(outgoing.mark);
		if (judgement.type === 'refused') {
			return {
				result: createFailure('not-run', 'quarantined', describeRefusal(judgement), judgement.retryAfterMs), verdict, attempts, server: undefined,
			};
		}

		const target = chooseServer({
			servers: listFor(context, plan.pool.service, judgement),
			pool: plan.pool,
			domain: context.domain,
			tried,
			// A lost connection says little of the server behind it; one that sheds or is gone would only say so again.
			mayReuse: last.reason === 'connection-lost',
			getLoad: context.loads.get,
			now: readNow(),
			random: context.random,
		});
		if (target === undefined) {
			return {
				result: last, verdict, attempts, server: undefined,
			};
		}

		const {id} = target.server;
		tried.add(id);
		context.loads.begin(id);
		const sentAt = readNow();
		const result = await sendOnce(context, target, watched);
		noteResult(context, target, call, result);
		if (result.type === 'answered' || result.reason === 'timeout') {
			context.loads.noteLatency(id, Math.max(1, readNow() - sentAt));
		}

		if (result.type === 'answered') {
			result.body.once('close', () => {
				context.loads.end(id);
			});
			return {
				result, verdict: 'ran', attempts: attempts + 1, server: id,
			};
		}

		context.loads.end(id);
		last = result;
		verdict = mergeVerdicts(verdict, result.verdict);
		if (isStreamOpen || judgement.type === 'trial' || isSuspected(result) || !mayRetry(context, outgoing, verdict, attempts + 1)) {
			return {
				result, verdict, attempts: attempts + 1, server: id,
			};
		}
	}
}

type StreamBody = Extract<RequestBody, {readonly type: 'stream'}>;

/** Once a part of a stream has been sent, it cannot be sent again from its beginning. */
function watchOpening(body: StreamBody, handleOpen: () => void): StreamBody {
	return {
		type: 'stream',
		open() {
			handleOpen();
			return body.open();
		},
	};
}
