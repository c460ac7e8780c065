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
import {createInnerScope, type CallScope} from './call-scope.js';
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
	| {readonly type: 'doubted'; readonly attempt: Attempt};

/** @internal */
export type RunningAttempts = {
	readonly count: () => number;
	/** Whether nothing is heard of the nodes of all of them; so it is of none. */
	readonly hasOnlyDoubted: () => boolean;
	readonly start: (planned: Pick<Attempt, 'target' | 'mayWaitMs' | 'answerMayWaitMs'>) => Attempt;
	/** Waits for what happens next to any of them. */
	readonly waitForEvent: () => Promise<AttemptEvent>;
	/** Breaks off all that are under way, since the call has its answer; yields them. */
	readonly breakOff: () => readonly Attempt[];
};

async function sendOnce(context: SendContext, call: OutgoingCall, {target, mayWaitMs, answerMayWaitMs, scope}: Attempt, handleDoubt: () => void): Promise<GateResult> {
	const common = {
		id: call.id, server: target.id, method: call.method, target: call.target, headers: call.headers, callerService: context.callerService,
		mayWaitMs, rank: computeRank(call.route), scope,
	};
	return target.isLocal
		? context.localGate.run({
			...common, hasBody: call.body !== undefined, isLargeUpload: false, readBody: async () => call.body,
		})
		: context.gateClient.send({
			...common, answerMayWaitMs, gate: target.gate, body: call.body, isBulk: isBulk(call.route.type), handleDoubt,
		});
}

/** What a call saw of a node goes before what the node says of itself. */
function noteNode(context: SendContext, target: Candidate, result: ForwardResult): void {
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
	const doubted = new WeakSet<Attempt>();
	const events: AttemptEvent[] = [];
	let handleEvent: ((event: AttemptEvent) => void) | undefined;

	const tell = (event: AttemptEvent): void => {
		if (handleEvent === undefined) {
			events.push(event);
			return;
		}

		handleEvent(event);
		handleEvent = undefined;
	};

	const noteLoad = ({target, startedAwakeAt}: Attempt, load: GateResult['load']): void => {
		if (load === undefined) {
			return;
		}

		const {tookMs, ...view} = load;
		context.loads.recordReport(target.lifetime, view, readSteadyMs());
		context.loads.recordRoundTrip(target.lifetime, call.route.name, readAwakeMs() - startedAwakeAt - tookMs);
	};

	const sendWatched = async (attempt: Attempt): Promise<ForwardResult> => {
		const {target, scope} = attempt;
		const handleDoubt = (): void => {
			doubted.add(attempt);
			tell({type: 'doubted', attempt});
		};

		const unwatch = target.isLocal ? (): void => undefined : context.watchSilence(target.node, handleDoubt);
		context.loads.recordStart(target.lifetime);
		try {
			const {result, load} = await sendOnce(context, call, attempt, handleDoubt);
			noteLoad(attempt, load);
			noteNode(context, target, result);
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
			result = await sendWatched(attempt);
		} catch (error) {
			// A fault of this program, which promises nothing.
			context.log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
			result = createMayHaveRun('wrong-answer', 'a fault of this node');
		}

		if (running.delete(attempt)) {
			tell({type: 'ended', attempt, result});
		}
	};

	return {
		count: () => running.size,
		hasOnlyDoubted: () => [...running].every(attempt => doubted.has(attempt)),
		start(planned) {
			const attempt: Attempt = {
				...planned, startedAt: readSteadyMs(), startedAwakeAt: readAwakeMs(), scope: createInnerScope(call.scope),
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
		breakOff() {
			const left = [...running];
			running.clear();
			for (const {scope} of left) {
				scope.end('superseded');
			}

			return left;
		},
	};
}
