/**
 * Admission by priority when room is short. The load that it answers: requests of
 * several priorities ask for more slots than there are. A request that holds a
 * slot is never interrupted, so less urgent requests must be kept from taking
 * the slots that more urgent ones need. A gate that had to refuse a request
 * holds back the less urgent ones for a short time: they may take a slot that is
 * free, but they do not queue, and entries that know of it send them elsewhere.
 *
 * @module
 */

/** Distance between the ranks of two priorities. No latency objective is longer than this in milliseconds, so ranks of two priorities never overlap. @internal */
export const ranksPerPriority = 1_000_000;

/** A shortage of slots at a gate. @internal */
export type Shortage = {
	/** The most urgent priority of which a request was refused lately. */
	readonly priority: number;
	/** When requests of lower urgency are accepted again, in milliseconds of the steady clock. */
	readonly until: number;
};

/** The part of the load of a gate that depends on the priority of requests. @internal */
export type PriorityLoad = {
	/** The least urgent priority that the gate accepts; `undefined` if it accepts all. */
	readonly leastUrgent?: number | undefined;
	/** How many requests wait, by priority; `undefined` if this is not known. The last count includes all higher numbers of priorities. */
	readonly waitingByPriority?: readonly number[] | undefined;
};

const noWaiting: readonly number[] = [];

const noPriorityLoad: PriorityLoad = {};

/** Encodes that the gate accepts all priorities. */
const acceptsAllValue = -1;

/** Maximum number of waiting requests that is accepted for one priority in a message; a gate queues far fewer. */
const maxWaitingCount = 1_000_000;

/**
 * How long a refusal holds back less urgent requests, in milliseconds. It is about one service time of the users' servers: in that time the slots
 * that less urgent requests hold come free, and the next more urgent requests show whether room is still short.
 */
const shortageMs = 300;

/** Number of priorities whose waiting requests are counted one by one. The users' configurations have three. */
const countedPriorities = 4;

/**
 * Encodes the part of a load that depends on priorities.
 *
 * @param load - The load.
 * @returns One list of numbers to append to a message; nothing if no request waits or is held back.
 * @internal
 */
export function encodePriorityLoad({leastUrgent, waitingByPriority = noWaiting}: PriorityLoad): ReadonlyArray<readonly number[]> {
	return leastUrgent === undefined && waitingByPriority.length === 0 ? [] : [[leastUrgent ?? acceptsAllValue, ...waitingByPriority]];
}

/**
 * Decodes a list of another node.
 *
 * @param value - The list.
 * @returns The load; without any field if the list is absent or malformed, so that all requests are treated alike.
 * @internal
 */
export function decodePriorityLoad(value: unknown): PriorityLoad {
	if (value === undefined) {
		return noPriorityLoad;
	}

	const [leastUrgent, ...counts] = Array.isArray(value) ? value as readonly unknown[] : [];
	const isCount = (value: unknown): value is number => Number.isInteger(value) && (value as number) >= 0 && (value as number) <= maxWaitingCount;
	if ((leastUrgent !== acceptsAllValue && !isCount(leastUrgent)) || counts.length > countedPriorities || !counts.every(count => isCount(count))) {
		return {};
	}

	return {
		...leastUrgent === acceptsAllValue ? {} : {leastUrgent},
		...counts.length === 0 ? {} : {waitingByPriority: counts},
	};
}

/**
 * @param rank - Rank of a request.
 * @returns Its priority; 0 is the most urgent.
 * @internal
 */
export function getPriority(rank: number): number {
	return Math.floor(rank / ranksPerPriority);
}

/**
 * Records that a request was refused for want of a slot.
 *
 * @param shortage - The shortage that is known so far; `undefined` if there is none.
 * @param rank - Rank of the refused request.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns The shortage. A refused request that is less urgent than the known shortage does not change it.
 * @internal
 */
export function recordShortage(shortage: Shortage | undefined, rank: number, now: number): Shortage {
	const priority = getPriority(rank);
	return shortage !== undefined && shortage.until > now && shortage.priority < priority ? shortage : {priority, until: now + shortageMs};
}

/**
 * @param shortage - The shortage at a gate; `undefined` if there is none.
 * @param rank - Rank of a request.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns Whether the request is held back in favour of more urgent ones.
 * @internal
 */
export function isHeldBack(shortage: Shortage | undefined, rank: number, now: number): boolean {
	return shortage !== undefined && shortage.until > now && getPriority(rank) > shortage.priority;
}

/**
 * Counts waiting requests by priority.
 *
 * @param waiting - The ranks of the requests that wait.
 * @returns The counts, without zeros at the end.
 * @internal
 */
export function countByPriority(waiting: ReadonlyArray<{readonly rank: number}>): readonly number[] {
	const counts: number[] = [];
	for (const {rank} of waiting) {
		const index = Math.min(countedPriorities - 1, getPriority(rank));
		while (counts.length <= index) {
			counts.push(0);
		}

		counts[index]!++;
	}

	return counts;
}

/**
 * @param load - The load of a gate.
 * @param waiting - Number of all requests that wait there.
 * @param priority - Priority of a request.
 * @returns How many of the waiting requests are not ahead of it, because they are less urgent.
 * @internal
 */
export function countLessUrgent({waitingByPriority}: PriorityLoad, waiting: number, priority: number): number {
	if (waitingByPriority === undefined) {
		return 0;
	}

	let ahead = 0;
	for (const [index, count] of waitingByPriority.entries()) {
		ahead += index <= priority ? count : 0;
	}

	return Math.max(0, waiting - ahead);
}
