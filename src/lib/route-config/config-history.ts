/**
 * The last steps from one version of the configuration to the next, so that a
 * node that lacks a few is sent these instead of the whole.
 *
 * @module
 */
import {parseTextDelta, type TextDelta} from './text-delta.js';

/** The step from one version to a later one. @internal */
export type ConfigStep = {
	readonly from: number;
	readonly to: number;
	readonly delta: TextDelta;
};

/** @internal */
export type ConfigHistory = {
	/** Notes the step that put a version in force; `undefined` if it is not known, which ends the chain. */
	readonly add: (step: ConfigStep | undefined) => void;
	/** The steps from a version to the newest one; `undefined` if one of them is not known. */
	readonly listSteps: (from: number) => readonly ConfigStep[] | undefined;
};

/** Steps that are remembered. Beside a quick succession of changes a node lacks one or two; one that lacks more was away, and takes the whole. */
const maxStoredStepCount = 12;

/** Steps that are taken from another node at once: several times what one remembers. */
const maxReceivedStepCount = 64;

/** A step that is larger than this ends the chain: the whole is not much more. Characters; a change of one route is some 300, one that adds 1,600 routes 340,000. */
const maxStepCharacters = 524_288;

/**
 * @returns A history of no steps.
 * @internal
 */
export function createConfigHistory(): ConfigHistory {
	let steps: readonly ConfigStep[] = [];
	return {
		add(step) {
			if (step === undefined || countInsertedCharacters(step) > maxStepCharacters) {
				steps = [];
				return;
			}

			const isNext = steps.length === 0 || steps.at(-1)!.to === step.from;
			steps = [...isNext ? steps : [], step].slice(-maxStoredStepCount);
		},
		listSteps(from) {
			const start = steps.findIndex(step => step.from === from);
			return start === -1 ? undefined : steps.slice(start);
		},
	};
}

/** Characters of new text in a step, which are most of it. */
function countInsertedCharacters({delta}: ConfigStep): number {
	let length = 0;
	for (const step of delta.steps) {
		length += typeof step === 'string' ? step.length : 0;
	}

	return length;
}

const isVersion = (value: unknown): value is number => Number.isSafeInteger(value) && value as number >= 0;

/**
 * @param value - Any JSON that another node sent.
 * @returns The steps, or `undefined` if one of them is none.
 * @internal
 */
export function parseConfigSteps(value: unknown): readonly ConfigStep[] | undefined {
	if (!Array.isArray(value) || value.length > maxReceivedStepCount) {
		return undefined;
	}

	const steps: ConfigStep[] = [];
	for (const entry of value) {
		const {from, to, delta} = typeof entry === 'object' && entry !== null ? entry as Readonly<Record<string, unknown>> : {};
		const parsed = parseTextDelta(delta);
		if (!isVersion(from) || !isVersion(to) || from >= to || parsed === undefined) {
			return undefined;
		}

		steps.push({from, to, delta: parsed});
	}

	return steps;
}
