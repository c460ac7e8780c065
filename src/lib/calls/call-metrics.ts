/**
 * What a node measures of the calls that enter the mesh through it.
 *
 * @module
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {type Verdict, verdicts} from '../common/verdict.js';

/** One finished call. @internal */
export type CallMeasurement = {
	readonly route: string;
	readonly status: number;
	readonly verdict: Verdict;
	readonly attempts: number;
	/** Time that the mesh added, in microseconds; `undefined` without an answer of a backend server. */
	readonly addedMicroseconds: number | undefined;
};

/** @public */
export type CallMetrics = {
	readonly record: (measurement: CallMeasurement) => void;
	/** Writes the metrics in the text format that Prometheus reads. */
	readonly format: () => string;
	/** The time that the mesh adds to a call, in microseconds. */
	readonly getAddedPercentile: (percentile: number) => number;
};

type RouteMetrics = {
	readonly added: Histogram;
	readonly verdicts: Map<Verdict, number>;
	retries: number;
};

const highestMicroseconds = 60_000_000;

/** Routes that are measured apart; the rest is summed up under one name. */
const maximumRoutes = 200;

const otherRoutes = '(other)';
const percentiles: readonly number[] = [50, 99];

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 2, bitBucketSize: 32,
	});
}

/**
 * @returns Metrics without a measurement.
 * @internal
 */
export function createCallMetrics(): CallMetrics {
	const routes = new Map<string, RouteMetrics>();
	const all = createHistogram();

	const getRoute = (name: string): RouteMetrics => {
		const key = routes.has(name) || routes.size < maximumRoutes ? name : otherRoutes;
		const known = routes.get(key);
		if (known !== undefined) {
			return known;
		}

		const created: RouteMetrics = {added: createHistogram(), verdicts: new Map(), retries: 0};
		routes.set(key, created);
		return created;
	};

	const formatRoute = (name: string, metrics: RouteMetrics): readonly string[] => [
		...verdicts.map(verdict => `stonemoor_calls_total{route="${name}",verdict="${verdict}"} ${metrics.verdicts.get(verdict) ?? 0}`),
		`stonemoor_retries_total{route="${name}"} ${metrics.retries}`,
		...percentiles.map(percentile => `stonemoor_added_microseconds{route="${name}",quantile="${percentile / 100}"} ${metrics.added.getValueAtPercentile(percentile)}`),
	];

	return {
		record({route, verdict, attempts, addedMicroseconds}) {
			const metrics = getRoute(route);
			metrics.verdicts.set(verdict, (metrics.verdicts.get(verdict) ?? 0) + 1);
			metrics.retries += Math.max(0, attempts - 1);
			if (addedMicroseconds !== undefined) {
				const value = Math.min(highestMicroseconds, Math.max(0, Math.round(addedMicroseconds)));
				metrics.added.recordValue(value);
				all.recordValue(value);
			}
		},
		format: () => [...routes].flatMap(([name, metrics]) => formatRoute(name, metrics)).join('\n') + '\n',
		getAddedPercentile: percentile => all.getValueAtPercentile(percentile),
	};
}
