/**
 * Locates fields in YAML files, and describes what is wrong with them.
 *
 * @module
 */
import {
	isMap, isScalar, type Document, type LineCounter,
} from 'yaml';
import {type z} from 'zod';

/** A position in a file. Lines and columns count from 1. @internal */
export type SourcePosition = {readonly line: number; readonly column: number};

/** The keys and indexes that lead to a field from the top of the document. @internal */
export type FieldPath = ReadonlyArray<string | number>;

/** Returns the position of a field, or that of its nearest existing parent if the field is missing. @internal */
export type Locator = (path: FieldPath) => SourcePosition;

/**
 * Creates a locator for a document.
 *
 * @param document - The parsed YAML.
 * @param lines - The line counter that was passed to the parser.
 * @returns The locator.
 * @internal
 */
export function createLocator(document: Document, lines: LineCounter): Locator {
	return path => {
		for (let {length} = path; length >= 0; length--) {
			const node = document.getIn(path.slice(0, length), true) as {readonly range?: readonly number[]} | undefined;
			const offset = node?.range?.[0];
			if (offset !== undefined) {
				const {line, col} = lines.linePos(offset);
				return {line, column: col};
			}
		}

		return {line: 1, column: 1};
	};
}

/**
 * Finds the position of a key itself instead of its value, to report an unknown key.
 *
 * @param document - The parsed YAML.
 * @param lines - The line counter that was passed to the parser.
 * @param path - The path of the map that has the key.
 * @param key - The key.
 * @returns The position of the key, or `undefined` if the map does not have it.
 * @internal
 */
export function findKeyPosition(document: Document, lines: LineCounter, path: FieldPath, key: string): SourcePosition | undefined {
	const map = document.getIn(path, true);
	const pair = isMap(map) ? map.items.find(item => isScalar(item.key) && item.key.value === key) : undefined;
	const offset = isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
	if (offset === undefined) {
		return undefined;
	}

	const {line, col} = lines.linePos(offset);
	return {line, column: col};
}

/**
 * Returns a nested field of a value.
 *
 * @param value - The value.
 * @param path - The path of the field.
 * @returns The value of the field, or `undefined` if it is missing.
 * @internal
 */
export function getField(value: unknown, path: readonly PropertyKey[]): unknown {
	let current = value;
	for (const key of path) {
		current = typeof current === 'object' && current !== null ? (current as Record<PropertyKey, unknown>)[key] : undefined;
	}

	return current;
}

/** Characters of a value that a message shows. */
const maximumShownLength = 100;

/**
 * Describes an issue of the schema library: the value found and the values allowed.
 *
 * @param issue - The issue.
 * @param found - The value that was found.
 * @returns One sentence.
 * @internal
 */
export function describeIssue(issue: z.core.$ZodIssue, found: unknown): string {
	const shown = found === undefined ? 'nothing' : JSON.stringify(found).slice(0, maximumShownLength);
	switch (issue.code) {
		case 'unrecognized_keys': {
			return `unknown key ${issue.keys.map(key => JSON.stringify(key)).join(', ')}; remove it or correct its spelling`;
		}

		case 'invalid_value': {
			return `found ${shown}, allowed: ${issue.values.map(value => JSON.stringify(value)).join(', ')}`;
		}

		case 'too_small': {
			return `found ${shown}, allowed: at least ${String(issue.minimum)}`;
		}

		case 'too_big': {
			return `found ${shown}, allowed: at most ${String(issue.maximum)}`;
		}

		default: {
			return `found ${shown}: ${issue.message}`;
		}
	}
}
