/**
 * Counts the outcomes of requests at one backend server, by route, so that the
 * nodes can compare two versions of a service.
 *
 * @module
 */
import {FieldError} from '../common/field-error.js';
import {readCount, readList, readName} from '../common/read-input.js';

/** Outcomes of the requests of one route. @internal */
export type RouteTally = {
	/** Requests that failed, or whose response was lost. */
	readonly failed: number;
	/** Requests while the server was still slow after its start. Their durations say nothing about its version. */
	readonly cold: {readonly answered: number; readonly failed: number};
	/** Answered requests by duration: bucket `i` contains durations below `getBucketEndMs(i)`. */
	readonly durations: readonly number[];
};

/** Outcomes at one server. @internal */
export type OutcomeTally = {
	/** Revision of the order since which the outcomes are counted. */
	readonly orderRevision: number;
	/** By name of the route. The entry `fullLoadRoute` contains the requests of all routes that ran while all slots of the server were in use. */
	readonly routes: ReadonlyMap<string, RouteTally>;
};

/** @internal */
export type Outcome = {
	readonly route: string;
	readonly hasFailed: boolean;
	readonly tookMs: number;
	/** Whether the server was still slow after its start. */
	readonly isCold: boolean;
	/** Whether all slots of the server were in use. */
	readonly isFullyLoaded: boolean;
};

/** Entry of a tally for the requests that ran at full load, in addition to those of their routes. @internal */
export const fullLoadRoute = '*';

/** End of the first bucket of durations, in milliseconds. */
const firstBucketEndMs = 8;

/** Buckets per doubling of the duration. @internal */
export const bucketsPerDoubling = 2;

/** Number of buckets; the last one contains all durations above 8 s. */
const bucketCount = 22;

/** Maximum number of routes in a tally: services in use have a few, and a report has to fit into a datagram. */
const maxRouteCount = 12;

/**
 * @param orderRevision - Revision of the order since which outcomes are counted.
 * @returns A tally without outcomes.
 * @internal
 */
export function createTally(orderRevision: number): OutcomeTally {
	return {orderRevision, routes: new Map()};
}

/** @internal */
export const emptyRouteTally: RouteTally = {failed: 0, cold: {answered: 0, failed: 0}, durations: []};

/**
 * @param durationMs - Duration of a request in milliseconds.
 * @returns The index of its bucket.
 * @internal
 */
export function computeBucket(durationMs: number): number {
	const doublings = Math.log2(Math.max(1, durationMs / firstBucketEndMs));
	return Math.min(bucketCount - 1, Math.ceil(doublings * bucketsPerDoubling));
}

function addToBucket(durations: readonly number[], bucket: number): readonly number[] {
	return Array.from({length: Math.max(durations.length, bucket + 1)}, (_, index) => (durations[index] ?? 0) + (index === bucket ? 1 : 0));
}

function addToRoute(tally: RouteTally, {hasFailed, isCold, tookMs}: Outcome): RouteTally {
	if (isCold) {
		const {answered, failed} = tally.cold;
		return {...tally, cold: hasFailed ? {answered, failed: failed + 1} : {answered: answered + 1, failed}};
	}

	return hasFailed ? {...tally, failed: tally.failed + 1} : {...tally, durations: addToBucket(tally.durations, computeBucket(tookMs))};
}

/**
 * Adds an outcome to a tally. Outcomes of further routes are left out once the tally has the maximum number of routes.
 *
 * @param tally - The tally.
 * @param outcome - The outcome.
 * @returns The new tally.
 * @internal
 */
export function addOutcome(tally: OutcomeTally, outcome: Outcome): OutcomeTally {
	const routes = new Map(tally.routes);
	for (const route of outcome.isFullyLoaded ? [outcome.route, fullLoadRoute] : [outcome.route]) {
		const known = routes.get(route);
		if (known !== undefined || routes.size < maxRouteCount) {
			routes.set(route, addToRoute(known ?? emptyRouteTally, outcome));
		}
	}

	return {...tally, routes};
}

/**
 * Adds up the tallies of one route at several servers.
 *
 * @param tallies - The tallies.
 * @returns Their sum.
 * @internal
 */
export function sumRouteTallies(tallies: readonly RouteTally[]): RouteTally {
	const length = Math.max(0, ...tallies.map(({durations}) => durations.length));
	return {
		failed: tallies.reduce((sum, {failed}) => sum + failed, 0),
		cold: {
			answered: tallies.reduce((sum, {cold}) => sum + cold.answered, 0), failed: tallies.reduce((sum, {cold}) => sum + cold.failed, 0),
		},
		durations: Array.from({length}, (_, index) => tallies.reduce((sum, {durations}) => sum + (durations[index] ?? 0), 0)),
	};
}

/**
 * @param tally - The tally of a route.
 * @returns The number of its requests, without those of a server that was still slow after its start.
 * @internal
 */
export function countRuns({failed, durations}: RouteTally): number {
	return failed + durations.reduce((sum, count) => sum + count, 0);
}

/**
 * @param tally - A tally.
 * @returns The tally as a list.
 * @internal
 */
export function encodeTally({orderRevision, routes}: OutcomeTally): readonly unknown[] {
	return [orderRevision, ...Array.from(routes, ([route, {failed, cold, durations}]) => [route, failed, cold.answered, cold.failed, ...durations])];
}

function decodeRoute(value: unknown, place: string): readonly [string, RouteTally] {
	const [route, failed, coldAnswered, coldFailed, ...durations] = readList(value, place);
	if (durations.length > bucketCount) {
		throw new FieldError(place, durations.length, `at most ${bucketCount} buckets of durations`);
	}

	return [readName(route, `${place}.route`), {
		failed: readCount(failed, `${place}.failed`),
		cold: {answered: readCount(coldAnswered, `${place}.coldAnswered`), failed: readCount(coldFailed, `${place}.coldFailed`)},
		durations: durations.map((count, index) => readCount(count, `${place}.durations.${index}`)),
	}];
}

/**
 * @param value - A value from the network.
 * @param place - Location of the value, for error messages.
 * @returns The tally.
 * @throws FieldError when it cannot be read.
 * @internal
 */
export function decodeTally(value: unknown, place: string): OutcomeTally {
	const [orderRevision, ...routes] = readList(value, place);
	if (routes.length > maxRouteCount) {
		throw new FieldError(place, routes.length, `at most ${maxRouteCount} routes`);
	}

	return {
		orderRevision: readCount(orderRevision, `${place}.orderRevision`),
		routes: new Map(routes.map((route, index) => decodeRoute(route, `${place}.${index}`))),
	};
}
