/**
 * The drain of a backend server at its gate. A request that was admitted before the drain may be sent to the server only for a limited time, however long its
 * body takes to arrive.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';

/** The body of a request that was admitted; `draining` if it arrived too late, or cannot arrive in time. @internal */
export type AwaitedBody = Uint8Array | undefined | 'draining';

/** @internal */
export type ServerDrain = {
	/** Starts the drain. Ends the wait for each body that cannot arrive in time. Later calls have no effect. */
	readonly start: () => void;
	/** Returns the milliseconds since the drain began; `undefined` if the server does not drain. */
	readonly getElapsedMs: () => number | undefined;
	/** Returns whether it is too late to send a request to the server. */
	readonly isOver: () => boolean;
	/** Waits for the body of a request. `bodyMs` is the shortest time in which it can arrive, in milliseconds. Rejects as `read` does. */
	readonly waitForBody: (read: () => Promise<Uint8Array | undefined>, bodyMs: number) => Promise<AwaitedBody>;
};

/** Time from the last check until the server has the request: the timeout of a connection to it, and a pause of this process. */
const sendMarginMs = 500;

type BodyWait = {readonly expectedAt: number; readonly giveUp: () => void};

/**
 * @param drainMs - How long a server takes requests after it began to drain, in milliseconds.
 * @returns The drain of a server that takes requests.
 * @internal
 */
export function createServerDrain(drainMs: number): ServerDrain {
	const waits = new Set<BodyWait>();
	let startedAt: number | undefined;

	const getLastSendAt = (): number => startedAt === undefined ? Number.POSITIVE_INFINITY : startedAt + Math.max(0, drainMs - sendMarginMs);
	const isOver = (): boolean => startedAt !== undefined && readSteadyMs() > getLastSendAt();

	const readInTime = async (read: () => Promise<Uint8Array | undefined>): Promise<AwaitedBody> => {
		const body = await read();
		return isOver() ? 'draining' : body;
	};

	return {
		start() {
			startedAt ??= readSteadyMs();
			for (const {expectedAt, giveUp} of waits) {
				if (expectedAt > getLastSendAt()) {
					giveUp();
				}
			}
		},
		getElapsedMs: () => startedAt === undefined ? undefined : readSteadyMs() - startedAt,
		isOver,
		async waitForBody(read, bodyMs) {
			const expectedAt = readSteadyMs() + bodyMs;
			if (expectedAt > getLastSendAt()) {
				return 'draining';
			}

			let giveUp = (): void => undefined;
			const givenUp = new Promise<AwaitedBody>(resolve => {
				giveUp = () => {
					resolve('draining');
				};
			});
			const wait: BodyWait = {
				expectedAt,
				giveUp() {
					giveUp();
				},
			};
			waits.add(wait);
			try {
				return await Promise.race([givenUp, readInTime(read)]);
			} finally {
				waits.delete(wait);
			}
		},
	};
}
