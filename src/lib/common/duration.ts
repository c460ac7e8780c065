/**
 * Parses and formats durations: a number and its unit, as in `1500ms` or `2.5s`.
 *
 * @module
 */

/**
 * Parses a duration.
 *
 * @param value - The value to parse, of any type.
 * @returns Milliseconds, or `undefined` if the value is not a duration.
 * @internal
 */
export function parseDuration(value: unknown): number | undefined {
	if (typeof value !== 'string') {
		return undefined;
	}

	const match = /^(-?\d+(?:\.\d+)?)(ms|s)$/.exec(value);
	if (match === null) {
		return undefined;
	}

	const milliseconds = Number(match[1]) * (match[2] === 's' ? 1000 : 1);
	// A number with too many digits becomes Infinity, which JSON cannot represent.
	return Math.abs(milliseconds) <= Number.MAX_SAFE_INTEGER ? milliseconds : undefined;
}

/**
 * Formats a duration.
 *
 * @param milliseconds - The duration.
 * @returns Whole milliseconds with their unit, as in `1500ms`.
 * @internal
 */
export function formatDuration(milliseconds: number): string {
	return `${Math.round(milliseconds)}ms`;
}
