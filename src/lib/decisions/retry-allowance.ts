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
type Slice = {
	readonly startedAt: number;
	requests: number;
	/** Of the requests, those that others wait for: calls that backend servers make. */
	calls: number;
	repeats: number;
	/** Of the repeats, those of requests that may have run. */
	reruns: number;
};

/** Why a request is sent again: a server turned it away, or turned a call away that another server makes, or it may have run and failed. @internal */
export type RepeatReason = 'turned-away' | 'call-turned-away' | 'may-have-run';

/** @internal */
export type RetryAllowance = {
	readonly noteRequest: (service: string, isCall: boolean, now: number) => void;
	/** Takes a repeat if one is left. */
	readonly take: (service: string, reason: RepeatReason, now: number) => boolean;
	/** Repeats that this node may still send to a service. */
	readonly countLeft: (service: string, reason: RepeatReason, now: number) => number;
};

/** Slices in a window: the window slides by one of these. */
const slicesPerWindow = 10;

/** Share of what is allowed that is always used. */
const usedShare = 0.45;

/** Share that may be used when few repeated runs make their calls again. The rest is for windows that whoever counts cuts otherwise. */
const mostUsedShare = 0.8;

/** Calls that a repeated run is taken to make again at any other service: as many as a run of the users' services makes. */
const callsOfRerun = 2;

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
export function createRetryAllowance(getLimits: () => RetryLimits, countNodes: () => number): RetryAllowance {
	const services = new Map<string, Slice[]>();

	const getSliceMs = (): number => getLimits().windowMs / slicesPerWindow;

	/** A slice counts until its last moment is out of the window. */
	const getSlices = (service: string, now: number): Slice[] => {
		const kept = (services.get(service) ?? []).filter(({startedAt}) => now - startedAt < getLimits().windowMs + getSliceMs());
		services.set(service, kept);
		return kept;
	};

	const getCurrent = (slices: Slice[], now: number): Slice => {
		const last = slices.at(-1);
		if (last !== undefined && now - last.startedAt < getSliceMs()) {
			return last;
		}

		const slice: Slice = {
			startedAt: now, requests: 0, calls: 0, repeats: 0, reruns: 0,
		};
		slices.push(slice);
		return slice;
	};

	const sumWindow = (service: string, now: number): Omit<Slice, 'startedAt'> => {
		const sum = {
			requests: 0, calls: 0, repeats: 0, reruns: 0,
		};
		for (const slice of getSlices(service, now)) {
			const isWithin = now - slice.startedAt < getLimits().windowMs;
			sum.requests += isWithin ? slice.requests : 0;
			sum.calls += isWithin ? slice.calls : 0;
			sum.repeats += slice.repeats;
			sum.reruns += slice.reruns;
		}

		return sum;
	};

	/** Calls that repeated runs of the other services may make again at this one. */
	const countCallsOfReruns = (service: string, now: number): number => {
		let reruns = 0;
		for (const other of services.keys()) {
			reruns += other === service ? 0 : sumWindow(other, now).reruns;
		}

		return reruns * callsOfRerun;
	};

	const computeAllowed = ({requests}: Pick<Slice, 'requests'>): number => {
		const {ratio, slack} = getLimits();
		return (requests * ratio) + (slack / Math.max(1, countNodes()));
	};

	/** Whether another service that calls lead to uses more than what is always used: calls of further repeated runs would come on top. */
	const isMoreUsedElsewhere = (service: string, now: number): boolean => {
		for (const other of services.keys()) {
			const sum = sumWindow(other, now);
			if (other !== service && sum.calls > 0 && sum.repeats > usedShare * computeAllowed(sum)) {
				return true;
			}
		}

		return false;
	};

	const countLeft = (service: string, reason: RepeatReason, now: number): number => {
		const sum = sumWindow(service, now);
		const {requests, calls, repeats, reruns} = sum;
		const allowed = computeAllowed(sum);
		const least = usedShare * allowed;
		if (reason === 'may-have-run') {
			return isMoreUsedElsewhere(service, now) ? 0 : Math.min(Math.floor(least) - repeats, Math.floor(rerunShare * allowed) - reruns);
		}

		// A call that fails costs the run that makes it: what lies between the shares is for calls first.
		const extra = Math.max(0, (mostUsedShare * allowed) - countCallsOfReruns(service, now) - least);
		const extraShare = reason === 'call-turned-away' ? 1 : 1 - (calls / Math.max(1, requests));
		return Math.floor(least + (extra * extraShare)) - repeats;
	};

	return {
		noteRequest(service, isCall, now) {
			const slice = getCurrent(getSlices(service, now), now);
			slice.requests++;
			slice.calls += isCall ? 1 : 0;
		},
		take(service, reason, now) {
			if (countLeft(service, reason, now) <= 0) {
				return false;
			}

			const slice = getCurrent(getSlices(service, now), now);
			slice.repeats++;
			slice.reruns += reason === 'may-have-run' ? 1 : 0;
			return true;
		},
		countLeft,
	};
}
