/**
 * Reads the YAML document in which operators write routes, pools and policies.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {
	isMap, isSeq, LineCounter, parseDocument as parseYaml, type Document,
} from 'yaml';
import {
	createLocator, describeIssue, getField, type FieldPath,
} from '../common/locate-yaml.js';
import {
	formatItemKey, itemSchema, type Item, type ItemKind,
} from './item.js';
import {type Problem} from './problem.js';

/** The sections of a document, and the kind of item that each holds. @internal */
export const documentSections: Readonly<Record<string, ItemKind>> = {routes: 'route', pools: 'pool', policies: 'policy'};

type SectionEntry = {
	readonly kind: ItemKind;
	readonly path: FieldPath;
	readonly value: unknown;
};

function listEntries(document: Document, report: (problem: Problem, path: FieldPath) => void): readonly SectionEntry[] {
	if (!isMap(document.contents)) {
		report({item: '', field: '', message: 'the document must be a map with the keys routes, pools and policies'}, []);
		return [];
	}

	const entries: SectionEntry[] = [];
	for (const pair of document.contents.items) {
		const section = String(pair.key);
		const kind = documentSections[section];
		if (kind === undefined) {
			report({item: '', field: section, message: `unknown section; allowed: ${Object.keys(documentSections).join(', ')}`}, [section]);
		} else if (isSeq(pair.value)) {
			const values = pair.value.toJS(document) as readonly unknown[];
			entries.push(...values.map((value, index) => ({kind, path: [section, index], value})));
		} else {
			report({item: '', field: section, message: 'must be a list of items'}, [section]);
		}
	}

	return entries;
}

/**
 * Parses a document and checks the form of every item in it.
 *
 * @param text - YAML.
 * @returns The items, or all problems, each with its line and column.
 * @public
 * @example
 * ```ts
 * parseConfigurationDocument('pools:\n  - {name: logs, service: logview}\n');
 * ```
 */
export function parseConfigurationDocument(text: string): Result<readonly Item[], readonly Problem[]> {
	const lines = new LineCounter();
	const document = parseYaml(text, {lineCounter: lines, prettyErrors: true});
	const syntax = document.errors.map((error): Problem => {
		const {line, col} = lines.linePos(error.pos[0]);
		return {
			item: '', field: '', message: error.message.split('\n')[0] ?? '', line, column: col,
		};
	});
	if (syntax.length > 0) {
		return err(syntax);
	}

	const locate = createLocator(document, lines);
	const problems: Problem[] = [];
	const items: Item[] = [];
	const seen = new Set<string>();
	for (const {kind, path, value} of listEntries(document, (problem, at) => {
		problems.push({...problem, ...locate(at)});
	})) {
		const candidate = typeof value === 'object' && value !== null ? {...value, kind} : value;
		const name = getField(value, ['name']);
		const item = typeof name === 'string' ? `${kind}/${name}` : kind;
		const parsed = itemSchema.safeParse(candidate);
		if (!parsed.success) {
			problems.push(...parsed.error.issues.map((issue): Problem => ({
				item, field: issue.path.join('.'), message: describeIssue(issue, getField(candidate, issue.path)), ...locate([...path, ...issue.path as string[]]),
			})));
			continue;
		}

		const key = formatItemKey(parsed.data);
		if (seen.has(key)) {
			problems.push({
				item: key, field: 'name', message: 'appears twice; give each item of a kind its own name', ...locate(path),
			});
		}

		seen.add(key);
		items.push(parsed.data);
	}

	return problems.length === 0 ? ok(items) : err(problems);
}
