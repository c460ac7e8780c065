/**
 * Retry budget of one node for each service. It limits how many requests reach a
 * second backend server, so that the sum over all nodes stays within the limit
 * that the operators set, even if the nodes cannot reach one another.
 *
 * @module
 */

/** @internal */
export type RetryLimits = {
	/** Retries allowed per request, over all nodes. */
	readonly ratio: number;
	/** Retries allowed in addition, over all nodes and per window. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Requests and retries of one service in one slice of the sliding window. */
type WindowSlice = {
	readonly startedAt: number;
	requests: number;
	/** Number of the requests that are nested calls: calls that backend servers make. */
	nestedCalls: number;
	retries: number;
	/** Number of the retries whose first attempt may have been executed. */
	possibleReruns: number;
};

/** Why a request is retried: a server refused it, a server refused a nested call, or the first attempt failed and may have been executed. @internal */
export type RetryReason = 'turned-away' | 'call-turned-away' | 'may-have-run';

/** @internal */
export type MeshRetryBudget = {
	readonly recordRequest: (service: string, isNestedCall: boolean, now: number) => void;
	/** Takes one retry from the budget; returns whether one was left. */
	readonly tryAcquire: (service: string, reason: RetryReason, now: number) => boolean;
	/** Returns a retry to the budget that was taken at `takenAt` and reached no backend server. */
	readonly giveBack: (service: string, reason: RetryReason, takenAt: number, now: number) => void;
	/** Returns how many retries this node may still send to a service. */
	readonly countRemaining: (service: string, reason: RetryReason, now: number) => number;
};

/** Number of slices in a window; the window slides by one slice. */
const slicesPerWindow = 10;

/** Share of the budget that may always be used. */
const baseShare = 0.45;

/** Share of the budget that may be used while few retried executions repeat their nested calls. The rest is a margin for monitoring that starts its windows at other times. */
const maxShare = 0.8;

/** Nested calls that each retried execution is assumed to repeat at every other service; an execution of the users' services makes that many. */
const callsPerRerun = 2;

/**
 * Share of the budget for retries of requests that may have been executed. A second execution repeats its nested calls,
 * and these count as retries at the called service. A request that fails because of a nested call adds the most:
 * its second execution repeats two nested calls at the users' services, so that this share counts twice at the called service.
 */
const rerunShare = 0.2;

/**
 * Creates an unused retry budget.
 *
 * @param getLimits - Returns the current limits of the operators.
 * @param countNodes - Returns the number of nodes that share the slack.
 * @returns The budget.
 * @internal
 */
export function createMeshRetryBudget(getLimits: () => RetryLimits, countNodes: () => number): MeshRetryBudget {
	const services = new Map<string, WindowSlice[]>();

	const getSliceMs = (): number => getLimits().windowMs / slicesPerWindow;

	/** Returns the slices that still count and removes the others. A slice counts until its end has left the window. */
	const getRecentSlices = (service: string, now: number): WindowSlice[] => {
		const known = services.get(service);
		if (known === undefined) {
			const created: WindowSlice[] = [];
			services.set(service, created);
			return created;
		}

		const keptMs = getLimits().windowMs + getSliceMs();
		while (known.length > 0 && now - known[0]!.startedAt >= keptMs) {
			known.shift();
		}

		return known;
	};

	const getCurrentSlice = (slices: WindowSlice[], now: number): WindowSlice => {
		const last = slices.at(-1);
		if (last !== undefined && now - last.startedAt < getSliceMs()) {
			return last;
		}

		const slice: WindowSlice = {
			startedAt: now, requests: 0, nestedCalls: 0, retries: 0, possibleReruns: 0,
		};
		slices.push(slice);
		return slice;
	};

	const sumWindow = (service: string, now: number): Omit<WindowSlice, 'startedAt'> => {
		const sum = {
			requests: 0, nestedCalls: 0, retries: 0, possibleReruns: 0,
		};
		for (const slice of getRecentSlices(service, now)) {
			const isWithin = now - slice.startedAt < getLimits().windowMs;
			sum.requests += isWithin ? slice.requests : 0;
			sum.nestedCalls += isWithin ? slice.nestedCalls : 0;
			sum.retries += slice.retries;
			sum.possibleReruns += slice.possibleReruns;
		}

		return sum;
	};

	/** Counts the nested calls that retried executions of the other services may repeat at this service. */
	const countRerunCalls = (service: string, now: number): number => {
		let possibleReruns = 0;
		for (const other of services.keys()) {
			possibleReruns += other === service ? 0 : sumWindow(other, now).possibleReruns;
		}

		return possibleReruns * callsPerRerun;
	};

	const computeBudget = ({requests}: Pick<WindowSlice, 'requests'>): number => {
		const {ratio, slack} = getLimits();
		return (requests * ratio) + (slack / Math.max(1, countNodes()));
	};

	/** Whether another service that receives nested calls has used more than its base share. Nested calls of further retried executions would add to that. */
	const isOtherBudgetStrained = (service: string, now: number): boolean => {
		for (const other of services.keys()) {
			const sum = sumWindow(other, now);
			if (other !== service && sum.nestedCalls > 0 && sum.retries > baseShare * computeBudget(sum)) {
				return true;
			}
		}

		return false;
	};

	const countRemaining = (service: string, reason: RetryReason, now: number): number => {
		const sum = sumWindow(service, now);
		const {requests, nestedCalls, retries, possibleReruns} = sum;
		const budget = computeBudget(sum);
		const base = baseShare * budget;
		if (reason === 'may-have-run') {
			return isOtherBudgetStrained(service, now) ? 0 : Math.min(Math.floor(base) - retries, Math.floor(rerunShare * budget) - possibleReruns);
		}

		// A failed nested call wastes the execution that makes it, so nested calls come first in the part between the two shares.
		const extra = Math.max(0, (maxShare * budget) - countRerunCalls(service, now) - base);
		const extraShare = reason === 'call-turned-away' ? 1 : 1 - (nestedCalls / Math.max(1, requests));
		return Math.floor(base + (extra * extraShare)) - retries;
	};

	return {
		recordRequest(service, isNestedCall, now) {
			const slice = getCurrentSlice(getRecentSlices(service, now), now);
			slice.requests++;
			slice.nestedCalls += isNestedCall ? 1 : 0;
		},
		tryAcquire(service, reason, now) {
			if (countRemaining(service, reason, now) <= 0) {
				return false;
			}

			const slice = getCurrentSlice(getRecentSlices(service, now), now);
			slice.retries++;
			slice.possibleReruns += reason === 'may-have-run' ? 1 : 0;
			return true;
		},
		giveBack(service, reason, takenAt, now) {
			const slice = getRecentSlices(service, now).findLast(({startedAt}) => startedAt <= takenAt);
			if (slice === undefined) {
				return;
			}

			slice.retries--;
			slice.possibleReruns -= reason === 'may-have-run' ? 1 : 0;
		},
		countRemaining,
	};
}
