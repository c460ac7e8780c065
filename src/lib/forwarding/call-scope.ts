/**
 * How long a call lasts: until its caller leaves or its time is over. Lighter
 * than an `AbortSignal`, which builds an error with its stack for each call.
 *
 * @module
 */
import {readSteadyMs, trimTimerMs, watchResume} from '../common/clock.js';

/** A backend server's own answer at the very end of its time may still arrive within so many milliseconds, so a scope ends a little after the time that the server is given. @internal */
export const deadlineGraceMs = 15;

/** Why a call ended before its answer. @internal */
export type ScopeEndReason = 'timeout' | 'cancelled' | 'superseded';

/** @internal */
export type CallScope = {
	/** When the caller gives up, in steady milliseconds. */
	readonly deadlineAt: number;
	readonly getEndReason: () => ScopeEndReason | undefined;
	readonly end: (reason: ScopeEndReason) => void;
	/** Calls back once when the scope ends; yields a function that takes that back. */
	readonly subscribe: (handleEnd: (reason: ScopeEndReason) => void) => () => void;
	/** Stops the timer; the call has its answer. */
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
 * @param deadlineAt - When its time is over, in steady milliseconds.
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
	}, trimTimerMs(deadlineAt - readSteadyMs()));

	let timer = startTimer();
	// The timer stood still while this VM was suspended. What is over by then ends in the turn in which it is noticed, once that has been told to all.
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
 * Opens a scope inside another, for one attempt of a call.
 *
 * @param parent - The call's scope, whose timer serves both.
 * @returns A scope that ends with the outer one, or earlier by itself.
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
