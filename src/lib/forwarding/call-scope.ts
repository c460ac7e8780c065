/**
 * How long a call lasts: until its caller leaves or its time is over. Lighter
 * than an `AbortSignal`, which builds an error with its stack for each call.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';

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

/**
 * @param endsAt - When its time is over, in steady milliseconds.
 * @returns A scope that ends by itself at that time.
 * @internal
 */
export function createCallScope(endsAt: number): CallScope {
	const handlers = new Set<(reason: ScopeEnd) => void>();
	let ended: ScopeEnd | undefined;

	const end = (reason: ScopeEnd): void => {
		if (ended !== undefined) {
			return;
		}

		ended = reason;
		clearTimeout(timer);
		for (const handleEnd of handlers) {
			handleEnd(reason);
		}

		handlers.clear();
	};

	const timer = setTimeout(() => {
		end('timeout');
	}, Math.max(0, endsAt - readSteadyMs()));

	return {
		endsAt,
		getEnd: () => ended,
		end,
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
		dispose() {
			clearTimeout(timer);
			handlers.clear();
		},
	};
}

/**
 * Opens a scope inside another, for one attempt of a call.
 *
 * @param outer - The call's scope.
 * @returns A scope that ends with the outer one, or by itself.
 * @internal
 */
export function createInnerScope(outer: CallScope): CallScope {
	const inner = createCallScope(outer.endsAt);
	const unsubscribe = outer.subscribe(inner.end);
	return {
		...inner,
		dispose() {
			unsubscribe();
			inner.dispose();
		},
	};
}
