/**
 * Finds the pools and policies that routes of a document refer to and that are
 * missing from the document. The configuration in force may contain them.
 *
 * @module
 */
import {LineCounter, parseDocument as parseYaml} from 'yaml';
import {createLocator} from '../common/locate-yaml.js';
import {formatItemKey, type Item} from './item.js';
import {type Problem} from './problem.js';

/**
 * @param text - YAML of a document that was parsed without a problem.
 * @param items - Its items.
 * @returns A problem, with line and column, for each reference of a route to a pool or policy that is missing from the document.
 * @public
 */
export function findMissingReferences(text: string, items: readonly Item[]): readonly Problem[] {
	const lines = new LineCounter();
	const locate = createLocator(parseYaml(text, {lineCounter: lines}), lines);
	const documentKeys = new Set(items.map(item => formatItemKey(item)));
	const routes = items.filter(item => item.kind === 'route');
	return routes.flatMap((route, index) => (['pool', 'policy'] as const).flatMap((field): readonly Problem[] => {
		const key = `${field}/${route[field]}` as const;
		return documentKeys.has(key)
			? []
			: [{
				item: formatItemKey(route), field, message: `the file does not hold ${key}: add it, or submit where it is in force already`, ...locate(['routes', index, field]),
			}];
	}));
}
