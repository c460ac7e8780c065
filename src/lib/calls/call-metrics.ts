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
	readonly getAddedLatencyPercentile: (percentile: number) => number;
};

type RouteMetrics = {
	readonly added: Histogram;
	readonly verdicts: Map<Verdict, number>;
	retries: number;
};

const maximumTrackableMicroseconds = 60_000_000;

/** Routes that are measured apart; the rest is summed up under one name. */
const maximumRoutes = 200;

const otherRoutesLabel = '(other)';
const percentiles: readonly number[] = [50, 99];

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: maximumTrackableMicroseconds, numberOfSignificantValueDigits: 2, bitBucketSize: 32,
	});
}

/**
 * @returns Metrics without a measurement.
 * @internal
 */
export function createCallMetrics(): CallMetrics {
	const routes = new Map<string, RouteMetrics>();
	const allRoutesAdded = createHistogram();

	const getRouteMetrics = (name: string): RouteMetrics => {
		const key = routes.has(name) || routes.size < maximumRoutes ? name : otherRoutesLabel;
		const known = routes.get(key);
		if (known !== undefined) {
			return known;
		}

		const created: RouteMetrics = {added: createHistogram(), verdicts: new Map(), retries: 0};
		routes.set(key, created);
		return created;
	};

	const formatRouteMetrics = (name: string, metrics: RouteMetrics): readonly string[] => [
		...verdicts.map(verdict => `stonemoor_calls_total{route="${name}",verdict="${verdict}"} ${metrics.verdicts.get(verdict) ?? 0}`),
		`stonemoor_retries_total{route="${name}"} ${metrics.retries}`,
		...percentiles.map(percentile => `stonemoor_added_microseconds{route="${name}",quantile="${percentile / 100}"} ${metrics.added.getValueAtPercentile(percentile)}`),
	];

	return {
		record({route, verdict, attempts, addedMicroseconds}) {
			const metrics = getRouteMetrics(route);
			metrics.verdicts.set(verdict, (metrics.verdicts.get(verdict) ?? 0) + 1);
			metrics.retries += Math.max(0, attempts - 1);
			if (addedMicroseconds !== undefined) {
				const value = Math.min(maximumTrackableMicroseconds, Math.max(0, Math.round(addedMicroseconds)));
				metrics.added.recordValue(value);
				allRoutesAdded.recordValue(value);
			}
		},
		format: () => [...routes].flatMap(([name, metrics]) => formatRouteMetrics(name, metrics)).join('\n') + '\n',
		getAddedLatencyPercentile: percentile => allRoutesAdded.getValueAtPercentile(percentile),
	};
}
