/**
 * Reads collected logs of sidecar nodes.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {parseLogLine, type LogLine} from '../../src/index.js';
import {CommandError, exitCodes} from './exit-codes.js';

/** Characters of a line that are shown. */
const maximumShownLength = 60;

/** The file that stands for the standard input. */
const standardInputFd = 0;

function readLines(file: string | number): readonly LogLine[] {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new CommandError(`${file}: cannot be read: ${(error as Error).message}`, exitCodes.usage);
	}

	const texts = text.split('\n').filter(line => line.trim() !== '');
	const lines = texts.flatMap(line => parseLogLine(line) ?? []);
	if (lines.length === 0 && texts[0] !== undefined) {
		const name = file === standardInputFd ? 'the standard input' : file;
		const shown = texts[0].slice(0, maximumShownLength);
		throw new CommandError(`${name}: holds no line of a node's log; the first is "${shown}"; give what nodes write to their standard output`, exitCodes.usage);
	}

	return lines;
}

/**
 * @param files - Paths; none for the standard input.
 * @returns Their lines.
 * @throws CommandError that names a file which cannot be read.
 */
export function readLogFiles(files: readonly string[]): readonly LogLine[] {
	return (files.length === 0 ? [standardInputFd] : files).flatMap(file => readLines(file));
}
