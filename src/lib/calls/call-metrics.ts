/**
 * Metrics of the calls that enter the mesh through this node.
 *
 * @module
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {type Verdict, verdicts} from '../common/verdict.js';

/** Measurements of one finished call. @internal */
export type CallMeasurement = {
	readonly route: string;
	readonly status: number;
	readonly verdict: Verdict;
	readonly attempts: number;
	/** Latency that the mesh added, in microseconds; `undefined` if no backend server responded. */
	readonly addedMicroseconds: number | undefined;
};

/** @public */
export type CallMetrics = {
	readonly record: (measurement: CallMeasurement) => void;
	/** Returns the metrics in the Prometheus text format. */
	readonly format: () => string;
	/** Returns a percentile of the latency that the mesh adds to a call, in microseconds. */
	readonly getAddedLatencyPercentile: (percentile: number) => number;
};

type RouteMetrics = {
	readonly added: Histogram;
	readonly verdicts: Map<Verdict, number>;
	retries: number;
};

const maximumTrackableMicroseconds = 60_000_000;

/** Maximum number of routes that have their own metrics; calls of all further routes are counted together. */
const maximumRoutes = 200;

const otherRoutesLabel = '(other)';
const percentiles: readonly number[] = [50, 99];

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: maximumTrackableMicroseconds, numberOfSignificantValueDigits: 2, bitBucketSize: 32,
	});
}

/**
 * @returns Metrics without any recorded call.
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
