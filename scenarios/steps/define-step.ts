/**
 * What the sentences of the scenarios are made of.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {type SubmissionOutcome} from '../../src/index.js';
import {type StoreBackup} from '../../stand-ins/store/memory-store.js';
import {type CallerAnswer, type World} from '../world.js';

/** What the steps of one scenario hand to one another. */
export type ScenarioState = {
	readonly world: World;
	outcomes: readonly SubmissionOutcome[];
	answers: ReadonlyArray<{readonly path: string; readonly answer: CallerAnswer}>;
	backup: StoreBackup;
	requestsAfterDrain: number;
	danglingRoutes: readonly string[];
	/** What a connection that spoke HTTP by hand was answered, 0 for nothing. */
	rawStatus: number;
};

type Parameter = string | number;

/** One sentence, in the notation of Cucumber expressions, and what it does. */
export type StepDefinition = {
	readonly expression: string;
	readonly run: (state: ScenarioState, ...parameters: readonly never[]) => Promise<void> | void;
};

const definitions: StepDefinition[] = [];

/**
 * Adds a sentence.
 *
 * @param expression - The sentence, in the notation of Cucumber expressions.
 * @param run - What it does.
 */
export function defineStep<P extends readonly Parameter[]>(expression: string, run: (state: ScenarioState, ...parameters: P) => Promise<void> | void): void {
	definitions.push({expression, run: run as unknown as StepDefinition['run']});
}

/** @returns Every sentence that scenarios may use. */
export function listSteps(): readonly StepDefinition[] {
	return definitions;
}

/**
 * @param list - A list.
 * @returns Its last entry, without which the scenario makes no sense.
 */
export function getLast<T>(list: readonly T[]): T {
	const last = list.at(-1);
	assert.ok(last !== undefined, 'nothing happened yet');
	return last;
}

/** The answer to the last call. */
export const getLastAnswer = (state: ScenarioState): CallerAnswer => getLast(state.answers).answer;
