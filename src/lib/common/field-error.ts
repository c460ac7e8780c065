/**
 * The error for an invalid field of a message or a document.
 *
 * @module
 */

/** Characters of a value that an error shows: enough to recognise it. A value from another process may be as long as a whole message. */
const maximumShownLength = 80;

function describeValue(found: unknown): string {
	if (found === undefined) {
		return 'nothing';
	}

	if (typeof found === 'string' && found.length > maximumShownLength) {
		return `${JSON.stringify(found.slice(0, maximumShownLength))} and ${found.length - maximumShownLength} more characters`;
	}

	if (typeof found !== 'object' || found === null) {
		return JSON.stringify(found) ?? typeof found;
	}

	// The value may be nested too deeply for JSON.stringify.
	return Array.isArray(found) ? `a list of ${found.length}` : 'an object';
}

/** Reports an invalid field: its place, the value found and the values allowed. @internal */
export class FieldError extends Error {
	/**
	 * @param place - The name of the field.
	 * @param found - The value found.
	 * @param allowed - The values allowed.
	 * @param description - Text in place of the value found, for a value that must not be logged.
	 */
	constructor(place: string, found: unknown, allowed: string, description = describeValue(found)) {
		super(`${place}: found ${description}, must be ${allowed}`);
	}
}
