/**
 * The attempts of one call that are under way. Mostly there is one; beside one whose node has fallen silent there may be another,
 * and whichever is answered first counts.
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

/** One attempt of a call, at one server. @internal */
export type Attempt = {
	readonly target: Candidate;
	/** Milliseconds that it may wait for a slot. */
	readonly mayWaitMs: number;
	/** Milliseconds that its answer may wait for the link, if it is large. */
	readonly answerMayWaitMs: number | undefined;
	/** Steady milliseconds. */
	readonly startedAt: number;
	/** The same by the clock that stands still while this VM is suspended. */
	readonly startedAwakeAt: number;
	readonly scope: CallScope;
};

/** What happens to an attempt. @internal */
export type AttemptEvent =
	| {readonly type: 'ended'; readonly attempt: Attempt; readonly result: ForwardResult}
	/** Nothing is heard of the server's node, or nothing arrives on the connection to it. The server may be at work all the same. */
	| {readonly type: 'unresponsive'; readonly attempt: Attempt};

/** @internal */
export type RunningAttempts = {
	readonly count: () => number;
	/** Whether nothing is heard of the nodes of all of them; so it is of none. */
	readonly areAllUnresponsive: () => boolean;
	readonly start: (planned: Pick<Attempt, 'target' | 'mayWaitMs' | 'answerMayWaitMs'>) => Attempt;
	/** Waits for what happens next to any of them. */
	readonly waitForEvent: () => Promise<AttemptEvent>;
	/** Breaks off all that are under way, since the call has its answer; yields them. */
	readonly cancelAll: () => readonly Attempt[];
};

async function sendToGate(context: SendContext, call: OutgoingCall, {target, mayWaitMs, answerMayWaitMs, scope}: Attempt, handleUnresponsive: () => void): Promise<GateResult> {
	const common = {
		id: call.id, server: target.id, method: call.method, target: call.target, headers: call.headers, callerService: context.callerService,
		mayWaitMs, rank: computeRank(call.route), scope,
	};
	return target.isLocal
		? context.localGate.run({
			...common, hasBody: call.body !== undefined, isTransfer: false, readBody: async () => call.body,
		})
		: context.gateClient.send({
			...common, answerMayWaitMs, gate: target.gate, body: call.body, isBulk: isBulk(call.route.type), handleUnresponsive,
		});
}

/** What a call saw of a node goes before what the node says of itself. */
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
 * @param context - What calls are sent with.
 * @param call - The call.
 * @returns Its attempts, none started yet.
 * @internal
 */
export function createRunningAttempts(context: SendContext, call: OutgoingCall): RunningAttempts {
	const running = new Set<Attempt>();
	const unresponsive = new WeakSet<Attempt>();
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

		const {tookMs, ...view} = load;
		context.loads.hear(target.lifetime, view, readSteadyMs());
		context.loads.noteWay(target.lifetime, call.route.name, readAwakeMs() - startedAwakeAt - tookMs);
	};

	const sendAttempt = async (attempt: Attempt): Promise<ForwardResult> => {
		const {target, scope} = attempt;
		const handleUnresponsive = (): void => {
			unresponsive.add(attempt);
			dispatchEvent({type: 'unresponsive', attempt});
		};

		const unwatch = target.isLocal ? (): void => undefined : context.watchSilence(target.node, handleUnresponsive);
		context.loads.begin(target.lifetime);
		try {
			const {result, load} = await sendToGate(context, call, attempt, handleUnresponsive);
			recordLoad(attempt, load);
			reportReachability(context, target, result);
			return result;
		} finally {
			context.loads.end(target.lifetime);
			unwatch();
			scope.dispose();
		}
	};

	const run = async (attempt: Attempt): Promise<void> => {
		let result: ForwardResult;
		try {
			result = await sendAttempt(attempt);
		} catch (error) {
			// A fault of this program, which promises nothing.
			context.log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
			result = createMayHaveRun('wrong-answer', 'a fault of this node');
		}

		if (running.delete(attempt)) {
			dispatchEvent({type: 'ended', attempt, result});
		}
	};

	return {
		count: () => running.size,
		areAllUnresponsive: () => [...running].every(attempt => unresponsive.has(attempt)),
		start(planned) {
			const attempt: Attempt = {
				...planned, startedAt: readSteadyMs(), startedAwakeAt: readAwakeMs(), scope: createChildScope(call.scope),
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
