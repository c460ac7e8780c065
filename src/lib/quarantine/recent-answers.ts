/**
 * Requests without a body that were answered a moment ago. A page that is asked
 * for all the time is in work at every crash, whatever caused it; that a server
 * has just answered it shows that it is not what crashes them.
 *
 * @module
 */

/** @internal */
export type RecentAnswers = {
	readonly note: (head: string, now: number) => void;
	readonly has: (head: string, now: number) => boolean;
	readonly list: (now: number) => Iterable<string>;
};

/** How long an answer speaks for a request. Milliseconds: a page that many ask for is answered several times in it; one that begins to crash servers is protected for no longer. */
const freshMs = 2000;

/** Requests of one period that are remembered at the most: as many as a node answers in it under the users' highest load. */
const mostPerPeriod = 2000;

/**
 * @returns A memory of no answer.
 * @internal
 */
export function createRecentAnswers(): RecentAnswers {
	let current = new Set<string>();
	let before: ReadonlySet<string> = new Set();
	let startedAt = 0;

	const startPeriod = (now: number): void => {
		if (now - startedAt < freshMs) {
			return;
		}

		before = now - startedAt < 2 * freshMs ? current : new Set();
		current = new Set();
		startedAt = now;
	};

	return {
		note(head, now) {
			startPeriod(now);
			if (current.size < mostPerPeriod) {
				current.add(head);
			}
		},
		has(head, now) {
			startPeriod(now);
			return current.has(head) || before.has(head);
		},
		list(now) {
			startPeriod(now);
			return new Set([...current, ...before]);
		},
	};
}
