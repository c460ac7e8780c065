/**
 * Runs every scenario of the feature files as a test, and checks invariants
 * after each of them.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import test, {describe} from 'node:test';
import {fileURLToPath} from 'node:url';
import {CucumberExpression, ParameterTypeRegistry} from '@cucumber/cucumber-expressions';
import {
	AstBuilder, compile, GherkinClassicTokenMatcher, Parser,
} from '@cucumber/gherkin';
import {IdGenerator, type Pickle, type PickleStep} from '@cucumber/messages';
import {listSteps, type ScenarioState, type StepDefinition} from './steps/index.js';
import {createWorld, type World} from './world.js';

type MatchedStep = {
	readonly text: string;
	readonly definition: StepDefinition;
	readonly parameters: readonly unknown[];
};

const folder = fileURLToPath(new URL('../../scenarios/features/', import.meta.url));
const registry = new ParameterTypeRegistry();
const expressions = listSteps().map(definition => ({definition, expression: new CucumberExpression(definition.expression, registry)}));

function matchStep({text}: PickleStep): MatchedStep {
	const matches = expressions.flatMap(({definition, expression}) => {
		const found = expression.match(text);
		return found === null ? [] : [{text, definition, parameters: found.map(argument => argument.getValue(undefined))}];
	});
	const [match] = matches;
	assert.ok(match, `no step is defined for: ${text}`);
	assert.equal(matches.length, 1, `several steps are defined for: ${text}`);
	return match;
}

function readScenarios(file: string): readonly Pickle[] {
	const newId = IdGenerator.incrementing();
	const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher());
	return compile(parser.parse(readFileSync(`${folder}${file}`, 'utf8')), file, newId);
}

/** Checks that no node process applies an older version than before, and that a restarted node serves no older version than it had applied before. */
function checkVersions(world: World): void {
	for (const {name, events} of world.nodes.values()) {
		let highest = 0;
		let current = 0;
		for (const event of events) {
			switch (event.kind) {
				case 'node-started': {
					current = 0;

					break;
				}

				case 'configuration-applied': {
					assert.ok(event.version > current, `${name} reverted from version ${current} to ${event.version}`);
					current = event.version;
					highest = Math.max(highest, current);

					break;
				}

				case 'node-ready': {
					assert.ok(event.version >= highest, `${name} became ready with version ${event.version} after it had applied version ${highest}`);

					break;
				}
			// No default
			}
		}
	}
}

/** Checks that no release ran more than once on all backend servers together. */
function checkRuns(world: World): void {
	const runs = new Map<string, number>();
	for (const server of world.servers.values()) {
		for (const [key, count] of Object.entries(server.getRequestCounts().runs)) {
			runs.set(key, (runs.get(key) ?? 0) + count);
		}
	}

	for (const [key, count] of runs) {
		assert.ok(count <= 1, `${key} ran ${count} times`);
	}
}

async function runScenario(scenario: Pickle): Promise<void> {
	const steps = scenario.steps.map(step => matchStep(step));
	const world = await createWorld();
	const state: ScenarioState = {
		world, outcomes: [], answers: [], backup: [], requestsAfterDrain: 0, requestsBefore: new Map(), danglingRoutes: [], rawStatus: 0,
	};
	try {
		for (const {text, definition, parameters} of steps) {
			try {
				await definition.run(state, ...parameters as never[]);
			} catch (error) {
				throw new Error(`step "${text}" failed: ${(error as Error).message}`, {cause: error});
			}
		}

		checkVersions(world);
		checkRuns(world);
	} finally {
		await world.dispose();
	}
}

for (const file of readdirSync(folder).toSorted()) {
	describe(file, () => {
		for (const scenario of readScenarios(file)) {
			test(scenario.name, {timeout: 60_000}, async () => runScenario(scenario));
		}
	});
}
