/**
 * `explain-version`: explains from collected logs when each node applied a version.
 *
 * @module
 */
import process from 'node:process';
import {explainVersion} from '../../../src/index.js';
import {CommandError, exitCodes} from '../exit-codes.js';
import {formatTable} from '../format-table.js';
import {readLogFiles} from '../read-log-files.js';

export type ExplainVersionOptions = {
	readonly version: number;
	readonly files: readonly string[];
	readonly json: boolean;
};

/** Prints when each node applied a version, and what the slow ones waited for. */
export function runExplainVersion({version, files, json}: ExplainVersionOptions): void {
	const explanation = explainVersion(readLogFiles(files), version);
	if (explanation === undefined) {
		throw new CommandError(`no log line shows that a node applied version ${version}; pass the logs of all nodes`, exitCodes.refused);
	}

	if (json) {
		process.stdout.write(`${JSON.stringify(explanation)}\n`);
		return;
	}

	const rows = explanation.nodes.map(({node, lateMs, cause}) => [node, lateMs === undefined ? 'never' : `${lateMs} ms`, cause]);
	process.stdout.write(`Version ${version} was first applied at ${explanation.firstAt}\n${formatTable(['node', 'delay', 'cause'], rows)}\n`);
}
