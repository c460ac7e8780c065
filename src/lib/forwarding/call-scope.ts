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

/** A scope whose deadline can be moved. */
type MutableScope = Omit<CallScope, 'deadlineAt'> & {deadlineAt: number};

/**
 * Creates a scope that something else ends.
 *
 * @param deadlineAt - Its deadline.
 * @param release - Releases what would end the scope. Called when it has ended and when it is disposed.
 */
function createScope(deadlineAt: number, release: () => void): MutableScope {
	const handlers = new Set<(reason: ScopeEndReason) => void>();
	let endReason: ScopeEndReason | undefined;
	return {
		deadlineAt,
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
type ScopeTimer = {readonly scope: MutableScope; timeout: NodeJS.Timeout | undefined; endReason: ScopeEndReason};

const runningTimers = new Set<ScopeTimer>();

/** Delays of timers are rounded up to multiples of this. The runtime keeps a list for each different delay, and most calls would need one of their own. */
const timerStepMs = 8;

const restartTimer = (timer: ScopeTimer): void => {
	clearTimeout(timer.timeout);
	const delayMs = Math.ceil((timer.scope.deadlineAt - readSteadyMs()) / timerStepMs) * timerStepMs;
	timer.timeout = setTimeout(endAfterReads, clampTimerMs(delayMs), timer);
};

function endAtDeadline(timer: ScopeTimer): void {
	if (runningTimers.has(timer)) {
		timer.scope.end(timer.endReason);
	}
}

/** Ends a scope after the sockets have been read. After a pause of this process due timers run first, and a response that has arrived would be dropped. */
function endAfterReads(timer: ScopeTimer): void {
	setImmediate(endAtDeadline, timer);
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
 * @param callDeadlineAt - When the call has to end, in milliseconds of the steady clock.
 * @param stopTime - When this node must have answered its calls, on the same clock; infinity unless it shuts down.
 * @returns A scope that ends by itself at the earlier of these times.
 * @internal
 */
export function createCallScope(callDeadlineAt: number, stopTime = Number.POSITIVE_INFINITY): CallScope {
	const scope = createScope(Math.min(callDeadlineAt, stopTime), () => {
		clearTimeout(timer.timeout);
		runningTimers.delete(timer);
	});
	const timer: ScopeTimer = {scope, timeout: undefined, endReason: stopTime < callDeadlineAt ? 'stopping' : 'timeout'};
	restartTimer(timer);
	runningTimers.add(timer);
	return scope;
}

/**
 * Makes scopes end earlier than at their deadlines, because this node shuts down. Scopes of attempts end with those of their calls.
 *
 * @param scopes - Scopes of calls.
 * @param stopTime - When this node must have answered them, in milliseconds of the steady clock.
 * @internal
 */
export function stopScopesAt(scopes: ReadonlySet<CallScope>, stopTime: number): void {
	for (const timer of runningTimers) {
		if (scopes.has(timer.scope) && stopTime < timer.scope.deadlineAt) {
			timer.scope.deadlineAt = stopTime;
			timer.endReason = 'stopping';
			restartTimer(timer);
		}
	}
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
	const scope = createScope(parent.deadlineAt, () => {
		stopListening();
	});
	stopListening = parent.subscribe(scope.end);
	return scope;
}
