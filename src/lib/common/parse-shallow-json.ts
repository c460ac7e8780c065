/**
 * Parses JSON of other programs that must not be nested deeply. `JSON.parse` accepts any
 * depth, but takes hundreds of milliseconds for a megabyte of brackets.
 *
 * @module
 */
import {FieldError} from './field-error.js';

/** Deepest nesting that is accepted, several times that of any entry of a node. */
const maxDepth = 32;

/** Returns the index of the quotation mark that ends a string, or the length of the text. */
function findStringEnd(text: string, start: number): number {
	let index = start + 1;
	while (index < text.length && text[index] !== '"') {
		index += text[index] === '\\' ? 2 : 1;
	}

	return index;
}

/** Returns whether text is nested more deeply than `maxDepth`. Text that is no JSON may give either result. */
function isNestedTooDeeply(text: string): boolean {
	let depth = 0;
	for (let index = 0; index < text.length && depth <= maxDepth; index++) {
		switch (text[index]) {
			case '"': {
				index = findStringEnd(text, index);
				break;
			}

			case '[':
			case '{': {
				depth++;
				break;
			}

			case ']':
			case '}': {
				depth--;
				break;
			}

			default: {
				break;
			}
		}
	}

	return depth > maxDepth;
}

/**
 * Parses JSON.
 *
 * @param text - The text.
 * @param place - Its location, for error messages.
 * @returns The value.
 * @throws FieldError if it is nested too deeply, or a SyntaxError if it is not JSON.
 * @internal
 */
export function parseShallowJson(text: string, place: string): unknown {
	if (isNestedTooDeeply(text)) {
		throw new FieldError(place, text, `JSON that is nested at most ${maxDepth} times`);
	}

	return JSON.parse(text) as unknown;
}
