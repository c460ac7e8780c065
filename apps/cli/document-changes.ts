/**
 * Finds what a document would change in the configuration in force.
 *
 * @module
 */
import {isDeepStrictEqual} from 'node:util';
import {
	findItemProblems, formatItemKey, formatProblem, parseConfigurationDocument,
	type ConfigurationResponse, type Item, type ItemChange,
} from '../../src/index.js';
import {CommandError, exitCodes} from './exit-codes.js';
import {readText} from './operator-client.js';

/**
 * Reads and checks a document.
 *
 * @param file - Its path.
 * @returns Its items; every problem found ends the command.
 */
export async function readDocument(file: string): Promise<readonly Item[]> {
	const items = parseConfigurationDocument(await readText(file)).match(
		parsed => parsed,
		problems => {
			throw new CommandError(problems.map(problem => formatProblem(problem, file)).join('\n'), exitCodes.refused);
		},
	);
	const problems = findItemProblems(items.map(item => ({type: 'put', item})));
	if (problems.length > 0) {
		throw new CommandError(problems.map(problem => formatProblem(problem, file)).join('\n'), exitCodes.refused);
	}

	return items;
}

/**
 * @param configuration - What is in force.
 * @param items - What a document holds.
 * @param replacesAll - Whether items that the document lacks are to be removed.
 * @returns The changes from one to the other.
 */
export function findChanges(configuration: ConfigurationResponse, items: readonly Item[], replacesAll: boolean): readonly ItemChange[] {
	const current = new Map(configuration.items.map(({item}) => [formatItemKey(item), item]));
	const wanted = new Set(items.map(item => formatItemKey(item)));
	const puts = items
		.filter(item => !isDeepStrictEqual(current.get(formatItemKey(item)), item))
		.map((item): ItemChange => ({type: 'put', item}));
	const removals = replacesAll ? [...current.keys()].filter(key => !wanted.has(key)).map((key): ItemChange => ({type: 'remove', key})) : [];
	return [...puts, ...removals];
}

/**
 * @param configuration - What is in force.
 * @param changes - Changes to it.
 * @returns One line for each change.
 */
export function formatChanges(configuration: ConfigurationResponse, changes: readonly ItemChange[]): string {
	const known = new Set(configuration.items.map(({item}) => formatItemKey(item)));
	return changes.map(change => {
		if (change.type === 'remove') {
			return `- ${change.key}`;
		}

		const key = formatItemKey(change.item);
		return `${known.has(key) ? '~' : '+'} ${key}`;
	}).join('\n');
}
