/**
 * The few statistics that the benches print.
 *
 * @module
 */
import {
	linearRegression, linearRegressionLine, quantile, rSquared,
} from 'simple-statistics';

export type LinearFit = {
	/** Cost of one unit more. */
	readonly slope: number;
	/** Cost before the first unit. */
	readonly intercept: number;
	/** 1 for a perfect line. */
	readonly rSquared: number;
};

/** @returns The percentile of a list, 0 for an empty one. */
export function getPercentile(values: readonly number[], share: number): number {
	return values.length === 0 ? 0 : quantile([...values], share);
}

/** Fits a line through points (x, y). */
export function fitLine(points: ReadonlyArray<readonly [number, number]>): LinearFit {
	const data = points.map(([x, y]) => [x, y]);
	const line = linearRegression(data);
	return {slope: line.m, intercept: line.b, rSquared: rSquared(data, linearRegressionLine(line))};
}

/** @returns A Markdown table. */
export function formatMarkdown(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [header, header.map(() => '---'), ...rows];
	return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

/** Runs something several times and yields the median time of one run, in microseconds. */
export function measureMedianMicroseconds(rounds: number, run: () => void): number {
	const times = Array.from({length: rounds}, () => {
		const start = performance.now();
		run();
		return (performance.now() - start) * 1000;
	});
	return getPercentile(times, 0.5);
}
