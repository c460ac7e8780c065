/**
 * `explain`: explains the result of one request from collected logs.
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

/** Prints the steps of a request and the cause of its result. */
export function runExplain(options: ExplainOptions): void {
	const explanation = explainCall(readLogFiles(options.files), options.id);
	if (explanation === undefined) {
		throw new CommandError(`no log line contains the request id ${options.id}; pass the logs of all nodes, or at least of the caller's node`, exitCodes.refused);
	}

	process.stdout.write(options.json ? `${JSON.stringify(explanation)}\n` : `${explanation.steps.join('\n')}\nCause: ${explanation.cause}\n`);
}
