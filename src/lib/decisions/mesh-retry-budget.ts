/**
 * Bounds how often requests reach a second backend server, so that the sum
 * over all nodes stays within what the operators allow, whatever nodes can
 * hear of one another.
 *
 * @module
 */

/** @internal */
export type RetryLimits = {
	/** Repeats allowed for each request, over all nodes. */
	readonly ratio: number;
	/** Repeats allowed beside that, over all nodes in a window. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Requests and repeats of one service in one slice of time. */
type WindowSlice = {
	readonly startedAt: number;
	requests: number;
	/** Of the requests, those that others wait for: calls that backend servers make. */
	nestedCalls: number;
	retries: number;
	/** Of the repeats, those of requests that may have run. */
	possibleReruns: number;
};

/** Why a request is sent again: a server turned it away, or turned a call away that another server makes, or it may have run and failed. @internal */
export type RetryReason = 'turned-away' | 'call-turned-away' | 'may-have-run';

/** @internal */
export type MeshRetryBudget = {
	readonly recordRequest: (service: string, isNestedCall: boolean, now: number) => void;
	/** Takes a repeat if one is left. */
	readonly tryAcquire: (service: string, reason: RetryReason, now: number) => boolean;
	/** Repeats that this node may still send to a service. */
	readonly countRemaining: (service: string, reason: RetryReason, now: number) => number;
};

/** Slices in a window: the window slides by one of these. */
const slicesPerWindow = 10;

/** Share of what is allowed that is always used. */
const baseShare = 0.45;

/** Share that may be used when few repeated runs make their calls again. The rest is for windows that whoever counts cuts otherwise. */
const maxShare = 0.8;

/** Calls that a repeated run is taken to make again at any other service: as many as a run of the users' services makes. */
const callsPerRerun = 2;

/**
 * Share of what is allowed that goes to requests that may have run. A request that runs again makes its calls again, and
 * these count as repeats at the service that is called. Requests that fail because of a call are those that make
 * the most: two each, at the users' services, so that this share counts twice there.
 */
const rerunShare = 0.2;

/**
 * Creates the allowance.
 *
 * @param getLimits - What the operators allow now.
 * @param countNodes - Nodes that share the slack.
 * @returns The allowance; none is used.
 * @internal
 */
export function createMeshRetryBudget(getLimits: () => RetryLimits, countNodes: () => number): MeshRetryBudget {
	const services = new Map<string, WindowSlice[]>();

	const getSliceMs = (): number => getLimits().windowMs / slicesPerWindow;

	/** A slice counts until its last moment is out of the window. */
	const getRecentSlices = (service: string, now: number): WindowSlice[] => {
		const kept = (services.get(service) ?? []).filter(({startedAt}) => now - startedAt < getLimits().windowMs + getSliceMs());
		services.set(service, kept);
		return kept;
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

	/** Calls that repeated runs of the other services may make again at this one. */
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

	/** Whether another service that calls lead to uses more than what is always used: calls of further repeated runs would come on top. */
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

		// A call that fails costs the run that makes it: what lies between the shares is for calls first.
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
		countRemaining,
	};
}
