/**
 * Set of requests without a body that were answered recently. A page that is requested
 * all the time is in flight at every crash, whatever the cause. A recent response
 * shows that it does not crash servers.
 *
 * @module
 */

/** @internal */
export type RecentResponses = {
	readonly record: (head: string, now: number) => void;
	readonly has: (head: string, now: number) => boolean;
	readonly list: (now: number) => Iterable<string>;
};

/** A response protects its request for one to two of these periods. A popular page is answered several times in a period; a page that starts to crash servers is not protected for longer. */
const periodMs = 2000;

/** Largest number of requests that are kept per period: as many as a node answers in it under the highest load of the users. */
const maxPerPeriod = 2000;

/**
 * @returns An empty set.
 * @internal
 */
export function createRecentResponses(): RecentResponses {
	let current = new Set<string>();
	let previous: ReadonlySet<string> = new Set();
	let startedAt = 0;

	const startPeriod = (now: number): void => {
		if (now - startedAt < periodMs) {
			return;
		}

		previous = now - startedAt < 2 * periodMs ? current : new Set();
		current = new Set();
		startedAt = now;
	};

	return {
		record(head, now) {
			startPeriod(now);
			if (current.size < maxPerPeriod) {
				current.add(head);
			}
		},
		has(head, now) {
			startPeriod(now);
			return current.has(head) || previous.has(head);
		},
		list(now) {
			startPeriod(now);
			return new Set([...current, ...previous]);
		},
	};
}
