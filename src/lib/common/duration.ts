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

	const milliseconds = Number(match[1]) * (match[2] === 's' ? 1000 : 1);
	// More digits than numbers hold would come out as infinite, which no message can carry on.
	return Math.abs(milliseconds) <= Number.MAX_SAFE_INTEGER ? milliseconds : undefined;
}

/**
 * @param milliseconds - A time.
 * @returns The same time as text.
 * @internal
 */
export function formatDuration(milliseconds: number): string {
	return `${Math.round(milliseconds)}ms`;
}
