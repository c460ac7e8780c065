/**
 * Times as text: a number and its unit, as in `1500ms` or `2.5s`.
 *
 * @module
 */

/**
 * @param value - A time.
 * @returns Milliseconds, or `undefined` if the value is no time.
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

	return Number(match[1]) * (match[2] === 's' ? 1000 : 1);
}

/**
 * @param milliseconds - A time.
 * @returns The same time as text.
 * @internal
 */
export function formatDuration(milliseconds: number): string {
	return `${Math.round(milliseconds)}ms`;
}
