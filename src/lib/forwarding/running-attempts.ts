/**
 * Runs the attempts of one call. Usually one attempt is in flight; a second may be started while the first is unresponsive, and the first response wins.
 *
 * @module
 */
import {readAwakeMs, readSteadyMs} from '../common/clock.js';
import {isBulk} from '../route-config/route-config.js';
import {computeRank} from '../decisions/call-rank.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {createChildScope, type CallScope} from './call-scope.js';
import {createMayHaveRun, type ForwardResult, type GateResult} from './forward-result.js';
import {type OutgoingCall, type SendContext} from './outgoing-call.js';

/** One attempt of a call, at one backend server. @internal */
export type Attempt = {
	readonly target: Candidate;
	/** The gate queues the request only if its expected wait for a slot is at most this long, in milliseconds. */
	readonly mayWaitMs: number;
	/** The gate accepts a request with a large response only if the expected wait of the response for the link is at most this long, in milliseconds; `undefined` if the response is not large. */
	readonly answerMayWaitMs: number | undefined;
	/** The gate turns the request away if its server is slower than this, as a factor of its average service time; `undefined` if it must not. */
	readonly maxSlowness?: number | undefined;
	/** Whether this node counts the request as one that may go to a version under test. */
	readonly isCounted: boolean;
	/** In milliseconds of the steady clock. */
	readonly startedAt: number;
	/** In milliseconds of the clock that does not advance while this VM is suspended. */
	readonly startedAwakeAt: number;
	readonly scope: CallScope;
	/** Whether the node of the server, or the connection to it, was reported as unresponsive. */
	isUnresponsive: boolean;
};

/** An event of an attempt. @internal */
export type AttemptEvent =
	| {readonly type: 'ended'; readonly attempt: Attempt; readonly result: ForwardResult}
	/** The node of the server sends no heartbeats, or nothing arrives on the connection to it. The server may still be running the request. */
	| {readonly type: 'unresponsive'; readonly attempt: Attempt};

/** @internal */
export type RunningAttempts = {
	readonly count: () => number;
	/** Returns whether all attempts in flight have been reported as unresponsive; true if there are none. */
	readonly areAllUnresponsive: () => boolean;
	readonly start: (planned: Pick<Attempt, 'target' | 'mayWaitMs' | 'answerMayWaitMs' | 'maxSlowness' | 'isCounted'>) => Attempt;
	/** Waits for the next event of any attempt. */
	readonly waitForEvent: () => Promise<AttemptEvent>;
	/** Cancels all attempts in flight because the call has its response, and returns them. */
	readonly cancelAll: () => readonly Attempt[];
};

/** Jitter as a share of the time for which a server whose limit is used up is avoided, so that the nodes do not return together. */
const limitJitterShare = 1;

async function sendToGate(context: SendContext, call: OutgoingCall, attempt: Attempt, handleUnresponsive: () => void): Promise<GateResult> {
	const {id, method, target, headers, body, route, workspace, isNestedCall} = call;
	const {target: server, mayWaitMs, isCounted, scope} = attempt;
	const {callerService} = context;
	const {limitPerSecond} = server.view;
	const rank = computeRank(route, {workspacePriority: workspace?.priority, isNestedCall});
	if (server.isLocal) {
		return context.localGate.run({
			id, server: server.id, method, target, headers, callerService, mayWaitMs, isCounted, rank, scope, limitPerSecond, workspace: workspace?.name,
			hasBody: body !== undefined, isLargeUpload: false, readBody: async () => body,
		});
	}

	return context.gateClient.send({
		id, server: server.id, method, target, headers, callerService, mayWaitMs, isCounted, rank, scope, limitPerSecond, workspace: workspace?.name,
		answerMayWaitMs: attempt.answerMayWaitMs, maxSlowness: attempt.maxSlowness, gate: server.gate, body, isBulk: isBulk(route.type), handleUnresponsive,
	});
}

/** Records whether the target node could be reached. The result of a call takes precedence over the node's own reports. */
function reportReachability(context: SendContext, target: Candidate, result: ForwardResult): void {
	if (target.isLocal) {
		return;
	}

	if (result.type === 'answered') {
		context.noteReached(target.node);
	} else if (result.reason === 'node-unreachable' && result.detail !== '') {
		context.noteUnreachable(target.node, result.detail);
	}
}

/**
 * Creates the attempts of a call.
 *
 * @param context - The dependencies for sending calls.
 * @param call - The call.
 * @returns The attempts; none has started.
 * @internal
 */
export function createRunningAttempts(context: SendContext, call: OutgoingCall): RunningAttempts {
	const running = new Set<Attempt>();
	const events: AttemptEvent[] = [];
	let handleEvent: ((event: AttemptEvent) => void) | undefined;

	const dispatchEvent = (event: AttemptEvent): void => {
		if (handleEvent === undefined) {
			events.push(event);
			return;
		}

		handleEvent(event);
		handleEvent = undefined;
	};

	const recordLoad = ({target, startedAwakeAt}: Attempt, load: GateResult['load']): void => {
		if (load === undefined) {
			return;
		}

		context.loads.recordReport(target.lifetime, load, readSteadyMs());
		context.loads.recordRoundTrip(target.lifetime, call.route.name, readAwakeMs() - startedAwakeAt - load.tookMs);
	};

	/** Records what the backend server says of itself in its response, and that its limit is used up. */
	const recordNotices = ({target}: Attempt, result: ForwardResult): void => {
		if (result.type === 'answered') {
			context.recordNotices(target.lifetime, result.headers);
		} else if (result.reason === 'limited') {
			context.loads.recordLimited(target.lifetime, result.retryAfterMs * (1 + (limitJitterShare * context.random())), readSteadyMs());
		}
	};

	const sendAttempt = async (attempt: Attempt): Promise<ForwardResult> => {
		const {target, scope} = attempt;
		const handleUnresponsive = (): void => {
			attempt.isUnresponsive = true;
			dispatchEvent({type: 'unresponsive', attempt});
		};

		const unwatch = target.isLocal ? (): void => undefined : context.watchSilence(target.node, handleUnresponsive);
		context.loads.recordStart(target.lifetime);
		try {
			const {result, load} = await sendToGate(context, call, attempt, handleUnresponsive);
			recordLoad(attempt, load);
			recordNotices(attempt, result);
			reportReachability(context, target, result);
			return result;
		} finally {
			context.loads.recordEnd(target.lifetime);
			unwatch();
			scope.dispose();
		}
	};

	const run = async (attempt: Attempt): Promise<void> => {
		let result: ForwardResult;
		try {
			result = await sendAttempt(attempt);
		} catch (error) {
			// A bug in this program. The request may have been executed.
			context.log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
			result = createMayHaveRun('wrong-answer', 'internal error of this node');
		}

		if (running.delete(attempt)) {
			dispatchEvent({type: 'ended', attempt, result});
		}
	};

	return {
		count: () => running.size,
		areAllUnresponsive() {
			for (const {isUnresponsive} of running) {
				if (!isUnresponsive) {
					return false;
				}
			}

			return true;
		},
		start(planned) {
			const attempt: Attempt = {
				target: planned.target, mayWaitMs: planned.mayWaitMs, answerMayWaitMs: planned.answerMayWaitMs, maxSlowness: planned.maxSlowness, isCounted: planned.isCounted,
				startedAt: readSteadyMs(), startedAwakeAt: readAwakeMs(), scope: createChildScope(call.scope), isUnresponsive: false,
			};
			running.add(attempt);
			void run(attempt);
			return attempt;
		},
		async waitForEvent() {
			const event = events.shift();
			return event ?? new Promise<AttemptEvent>(resolve => {
				handleEvent = resolve;
			});
		},
		cancelAll() {
			const cancelled = [...running];
			running.clear();
			for (const {scope} of cancelled) {
				scope.end('superseded');
			}

			return cancelled;
		},
	};
}
