/**
 * How long a call lasts: until its caller leaves or its time is over. Lighter
 * than an `AbortSignal`, which builds an error with its stack for each call.
 *
 * @module
 */
import {readSteadyMs, trimTimerMs, watchResume} from '../common/clock.js';

/** A backend server's own answer at the very end of its time may still arrive within so many milliseconds, so a scope ends a little after the time that the server is given. @internal */
export const endGraceMs = 15;

/** Why a call ended before its answer. @internal */
export type ScopeEnd = 'timeout' | 'cancelled' | 'superseded';

/** @internal */
export type CallScope = {
	/** When the caller gives up, in steady milliseconds. */
	readonly endsAt: number;
	readonly getEnd: () => ScopeEnd | undefined;
	readonly end: (reason: ScopeEnd) => void;
	/** Calls back once when the scope ends; yields a function that takes that back. */
	readonly subscribe: (handleEnd: (reason: ScopeEnd) => void) => () => void;
	/** Stops the timer; the call has its answer. */
	readonly dispose: () => void;
};

type Ending = Omit<CallScope, 'dispose'> & {readonly forgetHandlers: () => void};

function createEnding(endsAt: number, handleEnded: () => void): Ending {
	const handlers = new Set<(reason: ScopeEnd) => void>();
	let ended: ScopeEnd | undefined;
	return {
		endsAt,
		getEnd: () => ended,
		end(reason) {
			if (ended !== undefined) {
				return;
			}

			ended = reason;
			handleEnded();
			for (const handleEnd of handlers) {
				handleEnd(reason);
			}

			handlers.clear();
		},
		subscribe(handleEnd) {
			if (ended !== undefined) {
				handleEnd(ended);
				return () => undefined;
			}

			handlers.add(handleEnd);
			return () => {
				handlers.delete(handleEnd);
			};
		},
		forgetHandlers() {
			handlers.clear();
		},
	};
}

/**
 * @param endsAt - When its time is over, in steady milliseconds.
 * @returns A scope that ends by itself at that time.
 * @internal
 */
export function createCallScope(endsAt: number): CallScope {
	const stopWaiting = (): void => {
		clearTimeout(timer);
		unwatch();
	};

	const {forgetHandlers, ...ending} = createEnding(endsAt, stopWaiting);
	const startTimer = (): NodeJS.Timeout => setTimeout(() => {
		ending.end('timeout');
	}, trimTimerMs(endsAt - readSteadyMs()));

	let timer = startTimer();
	// The timer stood still while this VM was suspended. What is over by then ends in the turn in which it is noticed, once that has been told to all.
	const unwatch = watchResume(() => {
		clearTimeout(timer);
		timer = startTimer();
	});
	return {
		...ending,
		dispose() {
			stopWaiting();
			forgetHandlers();
		},
	};
}

/**
 * Opens a scope inside another, for one attempt of a call.
 *
 * @param outer - The call's scope, whose timer serves both.
 * @returns A scope that ends with the outer one, or earlier by itself.
 * @internal
 */
export function createInnerScope(outer: CallScope): CallScope {
	const {forgetHandlers, ...ending} = createEnding(outer.endsAt, () => undefined);
	const unsubscribe = outer.subscribe(ending.end);
	return {
		...ending,
		dispose() {
			unsubscribe();
			forgetHandlers();
		},
	};
}
