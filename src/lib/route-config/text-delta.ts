/**
 * Differences between two texts of which most is the same, such as two versions
 * of a configuration. Knows nothing of what the texts mean, so that whoever
 * takes one over ends with the very text that whoever gave it has.
 *
 * @module
 */
import {getCrypto} from '../common/late-modules.js';

/** A piece of the old text, as the first of its parts and their number, or a new text. */
type DeltaOperation = readonly [first: number, count: number] | string;

/** How to make one text out of another. @internal */
export type TextDelta = {
	/** SHA-256 of the new text, base64url. */
	readonly digest: string;
	readonly steps: readonly DeltaOperation[];
};

/** Texts are cut before each of these: a configuration becomes some parts for each route, so that a change of one route leaves the others whole. */
const partBoundary = /(?={)/;

const listParts = (text: string): readonly string[] => text.split(partBoundary);

const computeTextDigest = (text: string): string => getCrypto().createHash('sha256').update(text).digest('base64url');

function indexParts(parts: readonly string[]): ReadonlyMap<string, number> {
	const firstIndexes = new Map<string, number>();
	for (const [index, part] of parts.entries()) {
		if (!firstIndexes.has(part)) {
			firstIndexes.set(part, index);
		}
	}

	return firstIndexes;
}

/**
 * @param oldText - The text that the other side has.
 * @param newText - The text that it is to have.
 * @returns The delta between them.
 * @internal
 */
export function computeTextDelta(oldText: string, newText: string): TextDelta {
	const oldParts = listParts(oldText);
	const firstIndexes = indexParts(oldParts);
	const steps: DeltaOperation[] = [];
	let first = 0;
	let count = 0;
	let inserted = '';

	const flushOperations = (): void => {
		if (count > 0) {
			steps.push([first, count]);
			count = 0;
		}

		if (inserted !== '') {
			steps.push(inserted);
			inserted = '';
		}
	};

	for (const part of listParts(newText)) {
		if (count > 0 && oldParts[first + count] === part) {
			count++;
			continue;
		}

		const index = firstIndexes.get(part);
		if (index === undefined) {
			if (count > 0) {
				flushOperations();
			}

			inserted += part;
			continue;
		}

		flushOperations();
		first = index;
		count = 1;
	}

	flushOperations();
	return {digest: computeTextDigest(newText), steps};
}

/** The longest text that is put together. Characters: several times what the store of the users holds in a value. Each step may ask for the old text again. */
const maxTextCharacters = 16_777_216;

/** Joins pieces of the old text and new ones; `undefined` if they are longer than any text. */
function joinPieces(oldText: string, steps: readonly DeltaOperation[]): string | undefined {
	const oldParts = listParts(oldText);
	const pieces: string[] = [];
	let length = 0;
	for (const step of steps) {
		const piece = typeof step === 'string' ? step : oldParts.slice(step[0], step[0] + step[1]).join('');
		length += piece.length;
		if (length > maxTextCharacters) {
			return undefined;
		}

		pieces.push(piece);
	}

	return pieces.join('');
}

/**
 * @param oldText - The text that the delta was computed from.
 * @param delta - The delta.
 * @returns The new text; `undefined` if what comes out is not what the delta was computed for.
 * @internal
 */
export function applyTextDelta(oldText: string, {digest, steps}: TextDelta): string | undefined {
	const newText = joinPieces(oldText, steps);
	return newText !== undefined && computeTextDigest(newText) === digest ? newText : undefined;
}

function isDeltaOperation(value: unknown): value is DeltaOperation {
	return typeof value === 'string' || (Array.isArray(value) && value.length === 2 && value.every(number => Number.isSafeInteger(number) && number as number >= 0));
}

/**
 * @param value - Any JSON that another node sent.
 * @returns The delta, or `undefined` if it is none.
 * @internal
 */
export function parseTextDelta(value: unknown): TextDelta | undefined {
	const {digest, steps} = typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : {};
	return typeof digest === 'string' && Array.isArray(steps) && steps.every(step => isDeltaOperation(step)) ? {digest, steps} : undefined;
}
