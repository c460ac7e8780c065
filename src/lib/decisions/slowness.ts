/**
 * How slow the VM of a backend server is at the moment, from the load reports in the
 * responses of the server. VMs are shared with other work, so their speed changes
 * several times a second, while the average speed of a server hardly changes. So a
 * report changes the expected service time, and its weight falls quickly with its age.
 *
 * @module
 */

/** The slowness of a VM, as a factor of the usual time. Times are milliseconds of the steady clock. @internal */
export type Slowness = {
	readonly latest: number;
	readonly reportedAt: number;
	/** Average over time. */
	readonly mean: number;
};

/** The weight of a report halves in this time. Servers whose slowness is drawn anew every 0.6 s still have it after 0.3 s with a probability of one half. */
const halfLifeMs = 300;

/** Older reports are dropped; they would weigh about a hundredth. */
const maxAgeMs = 2000;

/** Time constant of the average, which covers several changes of the slowness. */
const meanTimeMs = 5000;

/** Maximum weight of one report in the average, so that the first one after a pause does not replace it. */
const maxMeanWeight = 0.1;

/** Range of a relative slowness from another node; anything else is an error of that node. */
const range = {min: 0.01, max: 100} as const;

/**
 * @param value - A field of a message of another node.
 * @returns Whether it is a relative slowness.
 * @internal
 */
export const isSlowness = (value: unknown): value is number => typeof value === 'number' && value >= range.min && value <= range.max;

/**
 * Records a report.
 *
 * @param known - What was known; `undefined` before the first report.
 * @param latest - The reported slowness, as a factor of the usual time.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns What is known now.
 * @internal
 */
export function recordSlowness(known: Slowness | undefined, latest: number, now: number): Slowness {
	const mean = known?.mean ?? 1;
	const elapsedMs = known === undefined ? meanTimeMs : now - known.reportedAt;
	const weight = Math.min(maxMeanWeight, 1 - Math.exp(-Math.max(0, elapsedMs) / meanTimeMs));
	return {latest, reportedAt: now, mean: mean + ((latest - mean) * weight)};
}

/**
 * Weights a slowness down by its age.
 *
 * @param relative - How long work took at the time of the report, as a factor of the average time.
 * @param ageMs - Milliseconds since the report.
 * @returns How long work is expected to take now, as a factor of the average time.
 * @internal
 */
export function estimateSlowness(relative: number, ageMs: number): number {
	return 1 + ((relative - 1) * (2 ** (-Math.max(0, ageMs) / halfLifeMs)));
}

/**
 * @param known - What is known of a VM.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns How long work takes now, as a factor of the average time; `undefined` if there is no recent report.
 * @internal
 */
export function getRelativeSlowness(known: Slowness | undefined, now: number): number | undefined {
	return known === undefined || now - known.reportedAt > maxAgeMs ? undefined : estimateSlowness(known.latest / known.mean, now - known.reportedAt);
}
