/**
 * Parses a node's settings from YAML.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import {
	createLocator, describeIssue, getField, findKeyPosition, type FieldPath,
} from '../common/locate-yaml.js';
import {settingsSchema, type Settings} from './settings.js';

/** A problem in a settings file. Lines and columns count from 1. @public */
export type SettingsProblem = {
	readonly field: string;
	readonly message: string;
	readonly line: number;
	readonly column: number;
};

/**
 * Formats a problem for operators.
 *
 * @param problem - The problem.
 * @param file - The path of the settings file.
 * @returns One line: file, position, field and message.
 * @public
 */
export function formatSettingsProblem(problem: SettingsProblem, file: string): string {
	return `${file}:${problem.line}:${problem.column}: ${problem.field === '' ? 'settings' : problem.field}: ${problem.message}`;
}

/**
 * Parses and validates settings.
 *
 * @param text - The YAML text.
 * @returns The settings with all defaults, or all problems found.
 * @public
 */
export function parseSettings(text: string): Result<Settings, readonly SettingsProblem[]> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	if (document.errors.length > 0) {
		return err(document.errors.map(error => {
			const {line, col} = lines.linePos(error.pos[0]);
			return {
				field: '', message: error.message.split('\n')[0] ?? '', line, column: col,
			};
		}));
	}

	const value: unknown = document.toJS();
	const parsed = settingsSchema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const locate = createLocator(document, lines);
	return err(parsed.error.issues.map(issue => {
		const path = issue.path as FieldPath;
		const [unknownKey] = issue.code === 'unrecognized_keys' ? issue.keys : [];
		// For an unknown key, report the position of the key itself instead of its parent.
		const place = unknownKey === undefined ? undefined : findKeyPosition(document, lines, path, unknownKey);
		const field = [...path, ...unknownKey === undefined ? [] : [unknownKey]].join('.');
		return {field, message: describeIssue(issue, getField(value, path)), ...place ?? locate(path)};
	}));
}
