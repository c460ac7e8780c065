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
	repeats: number;
	/** Of the repeats, those of requests that may have run. */
	reruns: number;
};

/** Why a request is sent again: a server turned it away, or it may have run and failed. @internal */
export type RepeatReason = 'turned-away' | 'may-have-run';

/** @internal */
export type RetryAllowance = {
	readonly noteRequest: (service: string, now: number) => void;
	/** Takes a repeat if one is left. */
	readonly take: (service: string, reason: RepeatReason, now: number) => boolean;
	/** Repeats that this node may still send to a service. */
	readonly countLeft: (service: string, reason: RepeatReason, now: number) => number;
};

/** Slices in a window: the window slides by one of these. */
const slicesPerWindow = 10;

/** Share of what is allowed that is used. The rest is for calls that repeated runs make again. */
const usedShare = 0.45;

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
			startedAt: now, requests: 0, repeats: 0, reruns: 0,
		};
		slices.push(slice);
		return slice;
	};

	const countLeft = (service: string, reason: RepeatReason, now: number): number => {
		const {ratio, slack, windowMs} = getLimits();
		let requests = 0;
		let repeats = 0;
		let reruns = 0;
		for (const slice of getSlices(service, now)) {
			requests += now - slice.startedAt < windowMs ? slice.requests : 0;
			repeats += slice.repeats;
			reruns += slice.reruns;
		}

		const allowed = (requests * ratio) + (slack / Math.max(1, countNodes()));
		const left = Math.floor(usedShare * allowed) - repeats;
		return reason === 'turned-away' ? left : Math.min(left, Math.floor(rerunShare * allowed) - reruns);
	};

	return {
		noteRequest(service, now) {
			getCurrent(getSlices(service, now), now).requests++;
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
