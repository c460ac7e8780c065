/**
 * Cancellation scopes: a call ends when its caller disconnects or its deadline
 * passes. Cheaper than an `AbortSignal`, which creates an error with a stack trace
 * for each call.
 *
 * @module
 */
import {readSteadyMs, clampTimerMs, watchResume} from '../common/clock.js';

/** A scope ends this long after the deadline that the backend server is given, because a response sent right at that deadline is still on its way. @internal */
export const deadlineGraceMs = 15;

/** Why a call ended before its response; `stopping`: this node shuts down. @internal */
export type ScopeEndReason = 'timeout' | 'cancelled' | 'superseded' | 'stopping';

/** @internal */
export type CallScope = {
	/** When the scope ends by itself, in milliseconds of the steady clock. */
	readonly deadlineAt: number;
	readonly getEndReason: () => ScopeEndReason | undefined;
	readonly end: (reason: ScopeEndReason) => void;
	/** Calls the handler once when the scope ends, immediately if it has ended; returns a function that unsubscribes. */
	readonly subscribe: (handleEnd: (reason: ScopeEndReason) => void) => () => void;
	/** Stops the timer and removes all handlers, once the call has its result. */
	readonly dispose: () => void;
};

/** The scope of a call, whose deadline can be moved. @internal */
export type RootScope = CallScope & {
	/** Makes the scope end at a time by which this node must have answered, if that is before its deadline. */
	readonly stopAt: (time: number) => void;
};

/**
 * Creates a scope that something else ends.
 *
 * @param getDeadlineAt - Returns its deadline.
 * @param release - Releases what would end the scope. Called when it has ended and when it is disposed.
 */
function createScope(getDeadlineAt: () => number, release: () => void): CallScope {
	const handlers = new Set<(reason: ScopeEndReason) => void>();
	let endReason: ScopeEndReason | undefined;
	return {
		get deadlineAt() {
			return getDeadlineAt();
		},
		getEndReason: () => endReason,
		end(reason) {
			if (endReason !== undefined) {
				return;
			}

			endReason = reason;
			release();
			for (const handleEnd of handlers) {
				handleEnd(reason);
			}

			handlers.clear();
		},
		subscribe(handleEnd) {
			if (endReason !== undefined) {
				handleEnd(endReason);
				return () => undefined;
			}

			handlers.add(handleEnd);
			return () => {
				handlers.delete(handleEnd);
			};
		},
		dispose() {
			release();
			handlers.clear();
		},
	};
}

/** The running timers of scopes. */
type ScopeTimer = {readonly scope: CallScope; timeout: NodeJS.Timeout | undefined; endReason: ScopeEndReason};

const runningTimers = new Set<ScopeTimer>();

/** Delays of timers are rounded up to multiples of this. The runtime keeps a list for each different delay, and most calls would need one of their own. */
const timerStepMs = 8;

const restartTimer = (timer: ScopeTimer): void => {
	clearTimeout(timer.timeout);
	const delayMs = Math.ceil((timer.scope.deadlineAt - readSteadyMs()) / timerStepMs) * timerStepMs;
	timer.timeout = setTimeout(endAtDeadline, clampTimerMs(delayMs), timer);
};

function endAtDeadline({scope, endReason}: ScopeTimer): void {
	scope.end(endReason);
}

// Timers do not advance while this VM is suspended. After a resume they are set anew; a scope whose deadline has passed ends right after all resume handlers have run.
watchResume(() => {
	for (const timer of runningTimers) {
		restartTimer(timer);
	}
});

/**
 * Creates the scope of a call and starts its timer.
 *
 * @param deadlineAt - When the scope ends, in milliseconds of the steady clock.
 * @returns A scope that ends by itself at that time.
 * @internal
 */
export function createCallScope(deadlineAt: number): RootScope {
	let endsAt = deadlineAt;
	const scope = createScope(() => endsAt, () => {
		clearTimeout(timer.timeout);
		runningTimers.delete(timer);
	});
	const timer: ScopeTimer = {scope, timeout: undefined, endReason: 'timeout'};
	restartTimer(timer);
	runningTimers.add(timer);
	return Object.assign(scope, {
		stopAt(time: number) {
			if (time < endsAt && runningTimers.has(timer)) {
				endsAt = time;
				timer.endReason = 'stopping';
				restartTimer(timer);
			}
		},
	});
}

/**
 * Creates a child scope for one attempt of a call.
 *
 * @param parent - The scope of the call, whose timer serves both.
 * @returns A scope that ends with its parent, or earlier through its own `end`.
 * @internal
 */
export function createChildScope(parent: CallScope): CallScope {
	// Until the parent is subscribed to, there is nothing to stop: a parent that has ended ends the child before `subscribe` returns.
	let stopListening = (): void => undefined;
	const scope = createScope(() => parent.deadlineAt, () => {
		stopListening();
	});
	stopListening = parent.subscribe(scope.end);
	return scope;
}
