/**
 * Compares a configuration document with the active configuration.
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
 * Reads and validates a document.
 *
 * @param file - The path of the document.
 * @returns Its items. If it has problems, the command ends with a message that lists all of them.
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
 * Finds the changes that a document makes.
 *
 * @param configuration - The active configuration.
 * @param items - The items of the document.
 * @param replacesAll - Whether to remove the items that the document does not contain.
 * @returns The changes from the active configuration to the document.
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
 * Formats changes for display.
 *
 * @param configuration - The active configuration.
 * @param changes - The changes to it.
 * @returns One line for each change: `+` for a new item, `~` for a changed one, `-` for a removed one.
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
