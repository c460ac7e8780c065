/**
 * Starts programs of this project as child processes.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Buffer} from 'node:buffer';

export type RunningProcess = {
	readonly name: string;
	readonly child: ChildProcess;
	/** Returns the last characters that the process wrote to its standard output and standard error, in order of arrival. */
	readonly getOutput: () => string;
	/** Waits until the process exits. Returns the exit code, or `undefined` if a signal ended it. */
	readonly waitForExit: () => Promise<number | undefined>;
};

const maximumOutputChars = 200_000;

/**
 * Finds a compiled program of this project.
 *
 * @param path - Its path in the build folder.
 * @returns Its absolute path.
 */
export function findProgram(path: string): string {
	return fileURLToPath(new URL(`../${path}`, import.meta.url));
}

/** Starts a compiled program of this project with Node.js and collects its output. */
export function startProcess(name: string, program: string, parameters: readonly string[]): RunningProcess {
	const child = spawn(process.execPath, [findProgram(program), ...parameters], {stdio: ['ignore', 'pipe', 'pipe']});
	let output = '';
	const collect = (chunk: Uint8Array): void => {
		output = `${output}${Buffer.from(chunk).toString()}`.slice(-maximumOutputChars);
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', code => {
			resolve(code ?? undefined);
		});
	});
	return {
		name, child, getOutput: () => output, waitForExit: async () => exited,
	};
}

/** Returns TCP ports of 127.0.0.1 that are free at the moment. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise<ReturnType<typeof createServer>>(resolve => {
		const server = createServer();
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	})));
	return ports;
}
