/**
 * Reads the log files of sidecar nodes.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {parseLogLine, type LogLine} from '../../src/index.js';
import {CommandError, exitCodes} from './exit-codes.js';

/** Maximum number of characters of a line that an error message quotes. */
const maximumShownLength = 60;

/** The file descriptor of the standard input. */
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
		throw new CommandError(`${name}: contains no log line of a node; the first line is "${shown}"; expected the standard output of nodes`, exitCodes.usage);
	}

	return lines;
}

/**
 * Reads the log lines of files.
 *
 * @param files - The paths; the standard input is read if there are none.
 * @returns The log lines of all files.
 * @throws CommandError if a file cannot be read, or contains text but no log line.
 */
export function readLogFiles(files: readonly string[]): readonly LogLine[] {
	return (files.length === 0 ? [standardInputFd] : files).flatMap(file => readLines(file));
}
