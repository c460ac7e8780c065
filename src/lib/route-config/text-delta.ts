/**
 * Differences between two texts of which most is the same, such as two versions
 * of a configuration. Knows nothing of what the texts mean, so that whoever
 * takes one over ends with the very text that whoever gave it has.
 *
 * @module
 */
import {getCrypto} from '../common/late-modules.js';

/** A piece of the old text, as the first of its parts and their number, or a new text. */
type DeltaStep = readonly [first: number, count: number] | string;

/** How to make one text out of another. @internal */
export type TextDelta = {
	/** SHA-256 of the new text, base64url. */
	readonly digest: string;
	readonly steps: readonly DeltaStep[];
};

/** Texts are cut before each of these: a configuration becomes some parts for each route, so that a change of one route leaves the others whole. */
const partStart = /(?={)/;

const listParts = (text: string): readonly string[] => text.split(partStart);

const computeTextDigest = (text: string): string => getCrypto().createHash('sha256').update(text).digest('base64url');

function indexParts(parts: readonly string[]): ReadonlyMap<string, number> {
	const places = new Map<string, number>();
	for (const [place, part] of parts.entries()) {
		if (!places.has(part)) {
			places.set(part, place);
		}
	}

	return places;
}

/**
 * @param oldText - The text that the other side has.
 * @param newText - The text that it is to have.
 * @returns The delta between them.
 * @internal
 */
export function computeTextDelta(oldText: string, newText: string): TextDelta {
	const oldParts = listParts(oldText);
	const places = indexParts(oldParts);
	const steps: DeltaStep[] = [];
	let first = 0;
	let count = 0;
	let fresh = '';

	const endRun = (): void => {
		if (count > 0) {
			steps.push([first, count]);
			count = 0;
		}

		if (fresh !== '') {
			steps.push(fresh);
			fresh = '';
		}
	};

	for (const part of listParts(newText)) {
		if (count > 0 && oldParts[first + count] === part) {
			count++;
			continue;
		}

		const place = places.get(part);
		if (place === undefined) {
			if (count > 0) {
				endRun();
			}

			fresh += part;
			continue;
		}

		endRun();
		first = place;
		count = 1;
	}

	endRun();
	return {digest: computeTextDigest(newText), steps};
}

/** The longest text that is put together. Characters: several times what the store of the users holds in a value. Each step may ask for the old text again. */
const maxTextLength = 16_777_216;

/** Joins pieces of the old text and new ones; `undefined` if they are longer than any text. */
function joinPieces(oldText: string, steps: readonly DeltaStep[]): string | undefined {
	const oldParts = listParts(oldText);
	const pieces: string[] = [];
	let length = 0;
	for (const step of steps) {
		const piece = typeof step === 'string' ? step : oldParts.slice(step[0], step[0] + step[1]).join('');
		length += piece.length;
		if (length > maxTextLength) {
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

function isStep(value: unknown): value is DeltaStep {
	return typeof value === 'string' || (Array.isArray(value) && value.length === 2 && value.every(number => Number.isSafeInteger(number) && number as number >= 0));
}

/**
 * @param value - Any JSON that another node sent.
 * @returns The delta, or `undefined` if it is none.
 * @internal
 */
export function parseTextDelta(value: unknown): TextDelta | undefined {
	const {digest, steps} = typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : {};
	return typeof digest === 'string' && Array.isArray(steps) && steps.every(step => isStep(step)) ? {digest, steps} : undefined;
}
