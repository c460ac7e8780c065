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

/** Why a call ended before its response. @internal */
export type ScopeEndReason = 'timeout' | 'cancelled' | 'superseded';

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

type ScopeState = Omit<CallScope, 'dispose'> & {readonly removeHandlers: () => void};

function createScopeState(deadlineAt: number, handleEnded: () => void): ScopeState {
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
			handleEnded();
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
		removeHandlers() {
			handlers.clear();
		},
	};
}

/**
 * Creates the scope of a call and starts its timer.
 *
 * @param deadlineAt - When the scope ends, in milliseconds of the steady clock.
 * @returns A scope that ends by itself at that time.
 * @internal
 */
export function createCallScope(deadlineAt: number): CallScope {
	const stopTimer = (): void => {
		clearTimeout(timer);
		unwatch();
	};

	const {removeHandlers, ...state} = createScopeState(deadlineAt, stopTimer);
	const startTimer = (): NodeJS.Timeout => setTimeout(() => {
		state.end('timeout');
	}, clampTimerMs(deadlineAt - readSteadyMs()));

	let timer = startTimer();
	// Timers do not advance while this VM is suspended. After a resume the timer is set anew; a scope whose deadline has passed ends right after all resume handlers have run.
	const unwatch = watchResume(() => {
		clearTimeout(timer);
		timer = startTimer();
	});
	return {
		...state,
		dispose() {
			stopTimer();
			removeHandlers();
		},
	};
}

/**
 * Creates a child scope for one attempt of a call.
 *
 * @param parent - The scope of the call, whose timer serves both.
 * @returns A scope that ends with its parent, or earlier through its own `end`.
 * @internal
 */
export function createChildScope(parent: CallScope): CallScope {
	const {removeHandlers, ...state} = createScopeState(parent.deadlineAt, () => undefined);
	const unsubscribe = parent.subscribe(state.end);
	return {
		...state,
		dispose() {
			unsubscribe();
			removeHandlers();
		},
	};
}
