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
};

/** @internal */
export type RetryAllowance = {
	readonly noteRequest: (service: string, now: number) => void;
	/** Takes a repeat if one is left. */
	readonly take: (service: string, now: number) => boolean;
	/** Repeats that this node may still send to a service. */
	readonly countLeft: (service: string, now: number) => number;
};

/** Slices in a window: the window slides by one of these. */
const slicesPerWindow = 10;

/**
 * Share of what is allowed that is used. A request that runs again makes its calls again, and these count as repeats at
 * the service that is called: where nearly all of that service's requests are such calls, both together come to
 * twice this share. The rest is for windows that are cut otherwise than here.
 */
const usedShare = 0.45;

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

	const getSlices = (service: string, now: number): Slice[] => {
		const kept = (services.get(service) ?? []).filter(({startedAt}) => now - startedAt < getLimits().windowMs);
		services.set(service, kept);
		return kept;
	};

	const getCurrent = (slices: Slice[], now: number): Slice => {
		const last = slices.at(-1);
		if (last !== undefined && now - last.startedAt < getLimits().windowMs / slicesPerWindow) {
			return last;
		}

		const slice: Slice = {startedAt: now, requests: 0, repeats: 0};
		slices.push(slice);
		return slice;
	};

	const countLeft = (service: string, now: number): number => {
		const slices = getSlices(service, now);
		const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
		const repeats = slices.reduce((sum, slice) => sum + slice.repeats, 0);
		const limits = getLimits();
		const slack = limits.slack / Math.max(1, countNodes());
		return Math.floor(usedShare * ((requests * limits.ratio) + slack)) - repeats;
	};

	return {
		noteRequest(service, now) {
			getCurrent(getSlices(service, now), now).requests++;
		},
		take(service, now) {
			if (countLeft(service, now) <= 0) {
				return false;
			}

			getCurrent(getSlices(service, now), now).repeats++;
			return true;
		},
		countLeft,
	};
}
