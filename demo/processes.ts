/**
 * Starts and ends the demo's own processes.
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
	readonly getOutput: () => string;
	/** Yields the exit code, or `undefined` after a signal. */
	readonly waitForExit: () => Promise<number | undefined>;
};

const maximumOutputChars = 200_000;

/** @returns The path of a compiled program of this project. */
export function findProgram(path: string): string {
	return fileURLToPath(new URL(`../${path}`, import.meta.url));
}

/** Starts one program of this project under Node.js. */
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

/** Finds ports that are free now. */
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
