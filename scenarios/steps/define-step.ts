/**
 * Registers the steps that feature files use.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {type SubmissionOutcome} from '../../src/index.js';
import {type StoreBackup} from '../../stand-ins/store/memory-store.js';
import {type CallerAnswer, type World} from '../world.js';

/** The state that the steps of one scenario share. */
export type ScenarioState = {
	readonly world: World;
	/** The outcomes of the last submissions. */
	outcomes: readonly SubmissionOutcome[];
	/** The answers to the last calls, each with the path of its page or the key of its release. */
	answers: ReadonlyArray<{readonly path: string; readonly answer: CallerAnswer}>;
	backup: StoreBackup;
	/** Requests that the server had received when its drain took effect. */
	requestsAfterDrain: number;
	/** Requests that each server had received before the last step that reads pages at a rate. */
	requestsBefore: ReadonlyMap<string, number>;
	/** Descriptions of the routes that were in force on a node without their pool, for the error message. */
	danglingRoutes: readonly string[];
	/** The status of the last response to a hand-written request; 0 if there was none. */
	rawStatus: number;
};

type Parameter = string | number;

/** A step: its Cucumber expression and the function that runs it. */
export type StepDefinition = {
	readonly expression: string;
	readonly run: (state: ScenarioState, ...parameters: readonly never[]) => Promise<void> | void;
};

const definitions: StepDefinition[] = [];

/**
 * Registers a step.
 *
 * @param expression - The Cucumber expression that matches the step's text.
 * @param run - Runs the step with the parameters of the expression.
 */
export function defineStep<P extends readonly Parameter[]>(expression: string, run: (state: ScenarioState, ...parameters: P) => Promise<void> | void): void {
	definitions.push({expression, run: run as unknown as StepDefinition['run']});
}

/** @returns All registered steps. */
export function listSteps(): readonly StepDefinition[] {
	return definitions;
}

/**
 * Returns the last entry of a list.
 *
 * @param list - The list.
 * @returns The entry.
 * @throws AssertionError if the list is empty.
 */
export function getLast<T>(list: readonly T[]): T {
	const last = list.at(-1);
	assert.ok(last !== undefined, 'no earlier step made a call or a submission');
	return last;
}

/** Returns the answer to the last call. */
export const getLastAnswer = (state: ScenarioState): CallerAnswer => getLast(state.answers).answer;
