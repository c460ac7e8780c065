/**
 * `explain-version`: how a version came into force on each node, from collected logs.
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

/** Prints when each node had a version in force, and what the slow ones waited for. */
export function runExplainVersion({version, files, json}: ExplainVersionOptions): void {
	const story = explainVersion(readLogFiles(files), version);
	if (story === undefined) {
		throw new CommandError(`no line says that version ${version} was in force anywhere; give the logs of all nodes`, exitCodes.refused);
	}

	if (json) {
		process.stdout.write(`${JSON.stringify(story)}\n`);
		return;
	}

	const rows = story.nodes.map(({node, lateMs, cause}) => [node, lateMs === undefined ? 'never' : `${lateMs} ms`, cause]);
	process.stdout.write(`Version ${version} was first in force at ${story.firstAt}\n${formatTable(['node', 'after', 'because'], rows)}\n`);
}
