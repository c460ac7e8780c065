/**
 * `explain`: the story of one request, from collected logs.
 *
 * @module
 */
import process from 'node:process';
import {explainCall} from '../../../src/index.js';
import {CommandError, exitCodes} from '../exit-codes.js';
import {readLogFiles} from '../read-log-files.js';

export type ExplainOptions = {
	readonly id: string;
	readonly files: readonly string[];
	readonly json: boolean;
};

/** Prints what became of a request. */
export function runExplain(options: ExplainOptions): void {
	const story = explainCall(readLogFiles(options.files), options.id);
	if (story === undefined) {
		throw new CommandError(`no line speaks of ${options.id}; give the logs of all nodes, or of the caller's at least`, exitCodes.refused);
	}

	process.stdout.write(options.json ? `${JSON.stringify(story)}\n` : `${story.steps.join('\n')}\nCause: ${story.cause}\n`);
}
