/**
 * Deltas between two similar texts, such as two versions of a configuration.
 * Works on the text rather than on its meaning, so that the receiver ends up
 * with exactly the text of the sender.
 *
 * @module
 */
import {getCrypto} from '../common/lazy-modules.js';

/** Copies a range of parts of the old text, given by the index of the first and their number, or inserts a new text. */
type DeltaOperation = readonly [first: number, count: number] | string;

/** The operations that turn one text into another. @internal */
export type TextDelta = {
	/** SHA-256 of the new text, base64url. */
	readonly digest: string;
	/** Operations in the order of the new text. */
	readonly steps: readonly DeltaOperation[];
};

/** Texts are split before each opening brace. A configuration yields a few parts per route, so that a change of one route leaves the parts of the others unchanged. */
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
 * Computes the delta from one text to another.
 *
 * @param oldText - The text that the receiver has.
 * @param newText - The text that the receiver needs.
 * @returns The delta.
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

/** Limit on the result of a delta, since each operation may copy the whole old text again. Several times the largest value that the store accepts. */
const maxTextCharacters = 16_777_216;

/** Applies the operations to a text; returns `undefined` if the result exceeds the size limit. */
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
 * Applies a delta and verifies the result.
 *
 * @param oldText - The text that the delta was computed from.
 * @param delta - The delta.
 * @returns The new text; `undefined` if it exceeds the size limit or its digest does not match.
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
 * Validates a delta received from another node.
 *
 * @param value - Parsed JSON.
 * @returns The delta, or `undefined` if it is invalid.
 * @internal
 */
export function parseTextDelta(value: unknown): TextDelta | undefined {
	const {digest, steps} = typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : {};
	return typeof digest === 'string' && Array.isArray(steps) && steps.every(step => isDeltaOperation(step)) ? {digest, steps} : undefined;
}
