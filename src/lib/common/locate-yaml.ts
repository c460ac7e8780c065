/**
 * Finds where in a YAML file a field stands, and says in words what is wrong
 * with it.
 *
 * @module
 */
import {
	isMap, isScalar, type Document, type LineCounter,
} from 'yaml';
import {type z} from 'zod';

/** Lines and columns count from 1. @internal */
export type SourcePosition = {readonly line: number; readonly column: number};

/** The way to a field, from the top of the document. @internal */
export type FieldPath = ReadonlyArray<string | number>;

/** Finds the place of a field; a field that is not there has its nearest parent's. @internal */
export type Locator = (path: FieldPath) => SourcePosition;

/**
 * Makes a function that finds the line and column of a field.
 *
 * @param document - The parsed YAML.
 * @param lines - The counter that was given to the parser.
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
 * Finds where a key itself stands, for a key that should not be there.
 *
 * @param document - The parsed YAML.
 * @param lines - The counter that was given to the parser.
 * @param path - The way to the map that has the key.
 * @param key - The key.
 * @returns Its place, or `undefined`.
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
 * @param value - A value with fields.
 * @param path - The way to one of them.
 * @returns What stands there, or `undefined`.
 * @internal
 */
export function getField(value: unknown, path: readonly PropertyKey[]): unknown {
	let current = value;
	for (const key of path) {
		current = typeof current === 'object' && current !== null ? (current as Record<PropertyKey, unknown>)[key] : undefined;
	}

	return current;
}

const maximumShownLength = 100;

/**
 * Puts an issue of the schema library in words: what was found and what is allowed.
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
