/**
 * The recent service times of one backend server, for the decision whether a request
 * takes longer than any honest one: its load is a mix of short requests with a few that
 * take many times as long, which a mean does not describe.
 *
 * @module
 */
import Int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';

/** @internal */
export type ServiceTimes = {
	readonly record: (milliseconds: number) => void;
	/** Returns the 99th percentile in milliseconds; `undefined` until there are enough samples for one. */
	readonly getPercentile: () => number | undefined;
};

type Histogram = {
	readonly recordValue: (value: number) => void;
	readonly getValueAtPercentile: (percentile: number) => number;
	readonly totalCount: number;
	readonly reset: () => void;
	readonly add: (other: Histogram) => void;
};

// The package is CommonJS without named exports, so the shape of the import depends on the module loader.
const histogramConstructor = ('default' in Int32Histogram ? Int32Histogram.default : Int32Histogram) as unknown as () => unknown;

/** Longer service times are recorded as this value, in milliseconds. */
const maxServiceMs = 60_000;

const significantDigits = 2;

const percentile = 99;

/** With fewer samples the longest of them says little. Up to a hundred the percentile is the longest one, whose multiple is only a threshold: a request also has to be missing at the server. */
const minSampleCount = 20;

/** Samples in one of the two windows: some seconds of the requests of a server, long enough to hold several of the longest hundredth. */
const windowSampleCount = 500;

/** The percentile is computed again after this many samples, since that reads the whole histogram. */
const samplesPerUpdate = 25;

const createHistogram = (): Histogram => Reflect.construct(histogramConstructor, [1, maxServiceMs, significantDigits]) as Histogram;

/**
 * @returns Service times without any sample.
 * @internal
 */
export function createServiceTimes(): ServiceTimes {
	// Created with the first sample, since most deployments need none.
	let current: Histogram | undefined;
	let previous: Histogram | undefined;
	let value: number | undefined;
	let samplesSinceUpdate = 0;

	const getSampleCount = (): number => (current?.totalCount ?? 0) + (previous?.totalCount ?? 0);

	/** Returns the larger percentile of the two windows, so that a window of only short requests does not make a long one look lost. */
	const computePercentile = (): number | undefined => {
		if (getSampleCount() < minSampleCount) {
			return undefined;
		}

		const windows = [current, previous].filter(window => (window?.totalCount ?? 0) >= minSampleCount);
		return windows.length === 0 ? value : Math.max(...windows.map(window => window!.getValueAtPercentile(percentile)));
	};

	return {
		record(milliseconds) {
			if (current === undefined || current.totalCount >= windowSampleCount) {
				const spare = previous;
				spare?.reset();
				previous = current;
				current = spare ?? createHistogram();
			}

			current.recordValue(Math.min(maxServiceMs, Math.max(1, Math.round(milliseconds))));
			samplesSinceUpdate++;
			if (value === undefined || samplesSinceUpdate >= samplesPerUpdate) {
				samplesSinceUpdate = 0;
				value = computePercentile();
			}
		},
		getPercentile: () => value,
	};
}
