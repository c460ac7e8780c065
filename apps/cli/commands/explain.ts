/**
 * `explain`: the story of one request, from collected logs.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {explainCall, parseLogLine, type LogLine} from '../../../src/index.js';
import {CommandError, exitCodes} from '../exit-codes.js';

export type ExplainOptions = {
	readonly id: string;
	readonly files: readonly string[];
	readonly json: boolean;
};

/** The file that stands for the standard input. */
const standardInput = 0;

function readLines(file: string | number): readonly LogLine[] {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new CommandError(`${file}: cannot be read: ${(error as Error).message}`, exitCodes.usage);
	}

	return text.split('\n').flatMap(line => parseLogLine(line) ?? []);
}

/** Prints what became of a request. */
export function runExplain(options: ExplainOptions): void {
	const files = options.files.length === 0 ? [standardInput] : options.files;
	const story = explainCall(files.flatMap(file => readLines(file)), options.id);
	if (story === undefined) {
		throw new CommandError(`no line speaks of ${options.id}; give the logs of all nodes, or of the caller's at least`, exitCodes.refused);
	}

	process.stdout.write(options.json ? `${JSON.stringify(story)}\n` : `${story.steps.join('\n')}\nCause: ${story.cause}\n`);
}
