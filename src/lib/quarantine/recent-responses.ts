/**
 * Requests without a body that were answered a moment ago. A page that is asked
 * for all the time is in work at every crash, whatever caused it; that a server
 * has just answered it shows that it is not what crashes them.
 *
 * @module
 */

/** @internal */
export type RecentResponses = {
	readonly record: (head: string, now: number) => void;
	readonly has: (head: string, now: number) => boolean;
	readonly list: (now: number) => Iterable<string>;
};

/** How long an answer speaks for a request. Milliseconds: a page that many ask for is answered several times in it; one that begins to crash servers is protected for no longer. */
const periodMs = 2000;

/** Requests of one period that are remembered at the most: as many as a node answers in it under the users' highest load. */
const maxPerPeriod = 2000;

/**
 * @returns A memory of no answer.
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
