/**
 * Runs a small deployment: the nodes as processes with the command of the deploy file, the
 * store of the platform, and a worker beside each node.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	closeSync, existsSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startPlatformStore, type PlatformStore} from '../../stand-ins/platform-store/platform-store.js';
import {checkReadiness} from './client.js';
import {startStoreLink, type StoreLink} from './link.js';
import {openRecord, type CaseRecord} from './record.js';
import {
	ports, readRunCommand, renderTemplate,
} from './settings.js';
import {startWorker, type Worker, type WorkerOptions} from './worker.js';

/** Exit codes of the program of a case. `run-case.sh` turns them into those of the case. */
export const exitCodes = {held: 0, broken: 10, cannotRun: 2} as const;

export type MachineOptions = {
	readonly name: string;
	readonly zone: string;
	readonly service: string;
	readonly linkMbps: number;
	readonly worker: Pick<WorkerOptions, 'slots' | 'queue' | 'computeWorkMs'> & {readonly version?: string};
};

export type Machine = {
	readonly name: string;
	readonly zone: string;
	readonly service: string;
	readonly host: string;
	/** The worker that runs on the machine. */
	worker: Worker;
	/** The process of the node. */
	node: ChildProcess;
	/** Starts the node again, after it has ended. */
	readonly startNode: () => void;
	readonly signalNode: (signal: NodeJS.Signals) => void;
};

export type MeshOptions = {
	readonly bounds: Readonly<Record<string, string | number>>;
	/** The configuration that the operator writes before traffic starts. */
	readonly config: unknown;
	readonly machines: readonly MachineOptions[];
	/** What the store sends to machines with links below this takes as long as the link needs, in megabits per second; 0 for none. */
	readonly slowLinkMbps?: number;
};

export type Mesh = {
	readonly record: CaseRecord;
	readonly store: PlatformStore;
	readonly machines: readonly Machine[];
	readonly getMachine: (name: string) => Machine;
};

/** Time for all nodes to become ready. */
const startTimeoutMs = 20_000;

/** Time between the start of the machines and traffic. */
const leadMs = 10_000;

async function isTcpPortFree(host: string, port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

async function isUdpPortFree(host: string, port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = createSocket('udp4');
		socket.once('error', () => {
			socket.close();
			resolve(false);
		});
		socket.bind(port, host, () => {
			socket.close(() => {
				resolve(true);
			});
		});
	});
}

async function isFree(host: string): Promise<boolean> {
	const results = await Promise.all([
		...Object.values(ports).map(async port => isTcpPortFree(host, port)),
		isUdpPortFree(host, ports.firstInternal),
	]);
	return results.every(Boolean);
}

/** Finds a network of loopback addresses whose ports are free on all machines. */
async function findNetwork(count: number): Promise<string> {
	for (let attempt = 0; attempt < 20; attempt++) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
		const free = await Promise.all(Array.from({length: count}, async (_, index) => isFree(`${network}.${index + 1}`)));
		if (free.every(Boolean)) {
			return network;
		}
	}

	throw new Error('no loopback network with free ports was found');
}

async function areAllReady(machines: readonly Machine[]): Promise<boolean> {
	const answers = await Promise.all(machines.map(async ({host}) => checkReadiness(host)));
	return answers.every(Boolean);
}

/** What all machines of a mesh share. */
type SharedParts = {readonly storeAddress: string; readonly record: CaseRecord; readonly bounds: MeshOptions['bounds']};

async function startMachine(options: MachineOptions, host: string, folder: string, {storeAddress, record, bounds}: SharedParts): Promise<Machine> {
	const {name, zone, service, linkMbps} = options;
	const settingsFile = path.join(folder, `${name}.yaml`);
	writeFileSync(settingsFile, renderTemplate({
		name, zone, service, host, linkMbps, storeAddress, bounds,
	}));
	const [program = '', ...words] = readRunCommand(settingsFile);
	const startNode = (): ChildProcess => {
		const log = openSync(path.join(folder, `${name}.log`), 'a');
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			stdio: ['ignore', log, log],
			env: Object.fromEntries([['PATH', process.env.PATH], ['HOME', folder], ['LANG', 'C'], ['STONEMOOR_CONFIG', settingsFile]]),
		});
		closeSync(log);
		child.once('exit', (code, signal) => {
			record.write(`node ${name} ended: ${signal ?? `exit code ${code}`}`);
		});
		record.write(`node ${name} starts at ${host}, service ${service}, ${linkMbps} Mbit/s`);
		return child;
	};

	const worker = await startWorker({
		id: `i-${name}`, service, zone, version: 'v1', host, record, ...options.worker,
	});
	const machine: Machine = {
		name, zone, service, host, worker, node: startNode(),
		startNode() {
			machine.node = startNode();
		},
		signalNode(signal) {
			record.write(`node ${name} gets ${signal}`);
			machine.node.kill(signal);
		},
	};
	return machine;
}

async function stopNode({node}: Machine): Promise<void> {
	if (node.exitCode !== null || node.signalCode !== null) {
		return;
	}

	const ended = new Promise(resolve => {
		node.once('exit', resolve);
	});
	node.kill('SIGKILL');
	await ended;
}

/**
 * Runs a case: starts the mesh, waits until it is ready and in touch, and ends all processes.
 *
 * @param folder - Folder of the case, for its record.
 * @param options - The mesh.
 * @param runCase - Runs the case. Returns whether the rule held.
 */
export async function runInMesh(folder: string, options: MeshOptions, runCase: (mesh: Mesh, hasTrouble: boolean) => Promise<boolean>): Promise<void> {
	const record = openRecord(path.join(folder, 'record.txt'));
	const temporary = mkdtempSync(path.join(tmpdir(), 'stonemoor-review-'));
	const machines: Machine[] = [];
	const links: StoreLink[] = [];
	let exitCode: number = exitCodes.cannotRun;
	let store: PlatformStore | undefined;
	/** Ends the processes of the case if it is ended itself. */
	const endProcesses = (): void => {
		for (const {node} of machines) {
			node.kill('SIGKILL');
		}

		rmSync(temporary, {recursive: true, force: true});
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(exitCodes.cannotRun);
	};

	process.once('SIGTERM', endProcesses);
	process.once('SIGINT', endProcesses);
	process.once('uncaughtException', error => {
		process.stderr.write(`${error.stack ?? error.message}\n`);
		endProcesses();
	});
	try {
		const trouble = process.env.TROUBLE ?? '1';
		if (trouble !== '0' && trouble !== '1') {
			throw new Error(`TROUBLE: found ${JSON.stringify(trouble)}, must be 0 or 1`);
		}

		if (!existsSync('target/sidecar.cjs')) {
			throw new Error('target/sidecar.cjs is missing; run the build of deploy/system.toml first');
		}

		store = await startPlatformStore();
		store.putConfig(options.config);
		const network = await findNetwork(options.machines.length);
		for (const [index, machine] of options.machines.entries()) {
			const host = `${network}.${index + 1}`;
			let storeAddress = store.address;
			if (machine.linkMbps < (options.slowLinkMbps ?? 0)) {
				const link = await startStoreLink(host, storeAddress, machine.linkMbps);
				links.push(link);
				storeAddress = link.address;
			}

			machines.push(await startMachine(machine, host, temporary, {storeAddress, record, bounds: options.bounds}));
		}

		const startedAt = record.getTime();
		while (!(await areAllReady(machines))) {
			if (record.getTime() - startedAt > startTimeoutMs) {
				throw new Error('the nodes did not become ready');
			}

			await sleep(200);
		}

		await sleep(Math.max(0, leadMs - (record.getTime() - startedAt)));
		record.write('traffic starts');
		const hasHeld = await runCase({
			record, store, machines,
			getMachine(name) {
				const found = machines.find(machine => machine.name === name);
				if (found === undefined) {
					throw new Error(`no machine is named ${name}`);
				}

				return found;
			},
		}, trouble === '1');
		exitCode = hasHeld ? exitCodes.held : exitCodes.broken;
		record.write(hasHeld ? 'the rule held' : 'the rule was broken');
	} catch (error) {
		record.write(`the case could not run: ${(error as Error).stack ?? String(error)}`);
		process.stderr.write(`${(error as Error).message}\n`);
	}

	await Promise.all(machines.map(async machine => stopNode(machine)));
	await Promise.all(machines.map(async ({worker}) => worker.close()));
	await Promise.all(links.map(async link => link.close()));
	await store?.close();
	record.close();
	if (process.env.KEEP_LOGS === undefined) {
		rmSync(temporary, {recursive: true});
	} else {
		process.stderr.write(`logs of the nodes: ${temporary}\n`);
	}

	// Connections of clients may still be open.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(exitCode);
}
