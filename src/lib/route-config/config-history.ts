/**
 * Keeps the latest steps between versions of the configuration, so that a node
 * that lacks a few versions receives their deltas instead of the whole text.
 *
 * @module
 */
import {parseTextDelta, type TextDelta} from './text-delta.js';

/** The delta from one version of the configuration to a later one. @internal */
export type ConfigStep = {
	readonly from: number;
	readonly to: number;
	readonly delta: TextDelta;
};

/** @internal */
export type ConfigHistory = {
	/** Adds the step that leads to a version that was applied. Clears the history if the step is `undefined`, that is, unknown. */
	readonly add: (step: ConfigStep | undefined) => void;
	/** Returns the steps from a version to the newest one; `undefined` if the history does not reach back to it. */
	readonly listSteps: (from: number) => readonly ConfigStep[] | undefined;
};

/** Steps in the history: as many as a node lacks after several seconds of quick changes. A node that lacks more was disconnected, and fetches the whole configuration. */
const maxStoredStepCount = 48;

/** Steps accepted in one message of another node: several times what a node keeps. */
const maxReceivedStepCount = 64;

/** Characters that all steps of the history insert. A larger step clears it, since the whole configuration is not much larger. A change of one route takes about 300 characters, adding 1,600 routes about 340,000. */
const maxStoredCharacters = 524_288;

/**
 * @returns An empty history.
 * @internal
 */
export function createConfigHistory(): ConfigHistory {
	let steps: readonly ConfigStep[] = [];
	return {
		add(step) {
			if (step === undefined || countInsertedCharacters([step]) > maxStoredCharacters) {
				steps = [];
				return;
			}

			const isNext = steps.length === 0 || steps.at(-1)!.to === step.from;
			steps = [...isNext ? steps : [], step].slice(-maxStoredStepCount);
			while (countInsertedCharacters(steps) > maxStoredCharacters) {
				steps = steps.slice(1);
			}
		},
		listSteps(from) {
			const start = steps.findIndex(step => step.from === from);
			return start === -1 ? undefined : steps.slice(start);
		},
	};
}

/**
 * @param steps - Steps of a configuration.
 * @returns The number of characters that they insert, which make up most of their size.
 * @internal
 */
export function countInsertedCharacters(steps: readonly ConfigStep[]): number {
	let length = 0;
	for (const part of steps.flatMap(({delta}) => delta.steps)) {
		length += typeof part === 'string' ? part.length : 0;
	}

	return length;
}

const isVersion = (value: unknown): value is number => Number.isSafeInteger(value) && value as number >= 0;

/**
 * Validates steps received from another node.
 *
 * @param value - Parsed JSON.
 * @returns The steps, or `undefined` if there are too many or one of them is invalid.
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
