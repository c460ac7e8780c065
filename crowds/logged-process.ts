/**
 * A process whose output goes to a file, so that an assertion can show why the process ended. A pipe would
 * hold the process up whenever the test is too busy to read from it.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import process from 'node:process';

export type LoggedProcess = {
	readonly child: ChildProcess;
	/** @throws Error with exit code, signal and the end of the output if the process has ended. */
	readonly assertRunning: () => void;
	/** Resolves once the process has ended. */
	readonly exited: Promise<void>;
};

/** What an error shows of the output: the stack trace of an uncaught exception and the log lines before it. */
const shownOutputChars = 8000;

/**
 * Starts Node.js.
 *
 * @param parameters - Its options, the program and the parameters of the program.
 * @param outputFile - File that standard output and standard error are appended to. It must exist as long as the process is asked about.
 * @returns The process.
 */
export function startLoggedProcess(parameters: readonly string[], outputFile: string): LoggedProcess {
	const output = openSync(outputFile, 'a');
	const child = spawn(process.execPath, parameters, {stdio: ['ignore', output, output]});
	closeSync(output);
	const exited = new Promise<void>(resolve => {
		child.once('exit', () => {
			resolve();
		});
	});
	return {
		child,
		assertRunning() {
			const {exitCode, signalCode} = child;
			if (exitCode === null && signalCode === null) {
				return;
			}

			const shownOutput = readFileSync(outputFile, 'utf8').slice(-shownOutputChars);
			throw new Error(`the process has ended with code ${String(exitCode)} and signal ${String(signalCode)}; the end of its output:\n${shownOutput}`);
		},
		exited,
	};
}
