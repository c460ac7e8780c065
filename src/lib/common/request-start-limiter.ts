/**
 * Limits the requests that start in one iteration of the event loop, to keep the
 * iterations short under high load. The event loop accepts one new connection per
 * iteration, so during long iterations callers wait to be connected. The close of
 * a connection is also read between iterations only.
 *
 * The limiter is needed when hundreds of callers reconnect at the same time to a node that has just
 * restarted, or that is the last one of its failure domain.
 *
 * @module
 */

/** Calls the handler when a request ends before it starts; returns a function that unsubscribes. @internal */
export type ListenForEnd = (handleEnd: () => void) => () => void;

/** @internal */
export type RequestStartLimiter = {
	/** Waits until a request may start, or until it has ended. Resolves immediately unless enough requests have started in this iteration. */
	readonly waitForStart: (listenForEnd?: ListenForEnd) => Promise<void>;
};

/** Requests from new connections that start in one iteration. Each takes about one millisecond of a core of a small VM, so an iteration takes a few milliseconds. Requests on existing connections are not delayed, so that reads are answered in time under overload. */
const maximumStartsPerIteration = 4;

/**
 * Creates a limiter.
 *
 * @returns The limiter, without any started request.
 * @internal
 */
export function createRequestStartLimiter(): RequestStartLimiter {
	const waiting: Array<() => void> = [];
	let startedCount = 0;
	let isCounting = false;

	const endIteration = (): void => {
		const starting = waiting.splice(0, maximumStartsPerIteration);
		startedCount = starting.length;
		isCounting = startedCount > 0;
		if (isCounting) {
			setImmediate(endIteration);
		}

		for (const start of starting) {
			start();
		}
	};

	return {
		async waitForStart(listenForEnd = () => () => undefined) {
			if (!isCounting) {
				isCounting = true;
				setImmediate(endIteration);
			}

			if (startedCount < maximumStartsPerIteration && waiting.length === 0) {
				startedCount++;
				return;
			}

			await new Promise<void>(resolve => {
				const start = (): void => {
					stopListening();
					resolve();
				};

				waiting.push(start);
				const stopListening = listenForEnd(() => {
					// Whoever waits keeps all that was read on the connection of the request.
					const index = waiting.indexOf(start);
					if (index !== -1) {
						waiting.splice(index, 1);
					}

					resolve();
				});
			});
		},
	};
}
