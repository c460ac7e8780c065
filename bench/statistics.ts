/**
 * Statistics and tables of the benches.
 *
 * @module
 */
import {
	linearRegression, linearRegressionLine, quantile, rSquared,
} from 'simple-statistics';

export type LinearFit = {
	/** Increase of y for each unit of x. */
	readonly slope: number;
	/** Value of y at x = 0. */
	readonly intercept: number;
	/** Coefficient of determination; 1 if all points lie on the line. */
	readonly rSquared: number;
};

/** @returns The quantile of a list at a share from 0 to 1; 0 for an empty list. */
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

/** Runs a function several times and returns the median time of one run. */
export function measureMedianMicroseconds(rounds: number, run: () => void): number {
	const times = Array.from({length: rounds}, () => {
		const start = performance.now();
		run();
		return (performance.now() - start) * 1000;
	});
	return getPercentile(times, 0.5);
}
