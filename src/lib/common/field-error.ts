/**
 * The error of a field of a message or a document that cannot be used.
 *
 * @module
 */

/** Characters of a value that an error shows: enough to recognise it. What others write may be as long as a message. */
const maximumShownLength = 80;

function describeValue(found: unknown): string {
	if (found === undefined) {
		return 'nothing';
	}

	if (typeof found === 'string' && found.length > maximumShownLength) {
		return `${JSON.stringify(found.slice(0, maximumShownLength))} and ${found.length - maximumShownLength} characters more`;
	}

	if (typeof found !== 'object' || found === null) {
		return JSON.stringify(found) ?? typeof found;
	}

	// What lies within may be too deep to be written down.
	return Array.isArray(found) ? `a list of ${found.length}` : 'an object';
}

/** A field that cannot be used: where it stands, what was found and what is allowed. @internal */
export class FieldError extends Error {
	constructor(place: string, found: unknown, allowed: string) {
		super(`${place}: found ${describeValue(found)}, must be ${allowed}`);
	}
}
