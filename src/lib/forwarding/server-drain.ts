/**
 * The drain of a backend server at its gate. Requests that were admitted before the drain may still be sent to the server for a limited time.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';

/** @internal */
export type ServerDrain = {
	/** Starts the drain. Later calls have no effect. */
	readonly start: () => void;
	/** Returns the milliseconds since the drain began; `undefined` if the server does not drain. */
	readonly getElapsedMs: () => number | undefined;
};

/**
 * @returns The drain of a server that takes requests.
 * @internal
 */
export function createServerDrain(): ServerDrain {
	let startedAt: number | undefined;
	return {
		start() {
			startedAt ??= readSteadyMs();
		},
		getElapsedMs: () => startedAt === undefined ? undefined : readSteadyMs() - startedAt,
	};
}
