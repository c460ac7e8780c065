/**
 * One node of a soak: runs the real program as a process, sends it signals, which
 * may overlap, restarts it, and records how each of its processes ended.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {openSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {findProgram} from '../demo/processes.js';
import {createListenAddresses} from '../stand-ins/loopback-addresses.js';
import {
	createReadinessAddress, renderSettings, readProgramOptions, type NodeParameters,
} from '../stand-ins/settings-template.js';
import {waitUntil} from '../stand-ins/wait-until.js';
import {fetchReadiness} from '../stand-ins/platform-server/server-messages.js';
import {type Lifetime} from './record.js';

export type SoakNode = {
	readonly name: string;
	readonly parameters: NodeParameters;
	readonly callerAddress: string;
	readonly announcementAddress: string;
	readonly gossipAddress: string;
	readonly logFile: string;
	readonly lifetimes: readonly Lifetime[];
	/** Returns the id of the running process; `undefined` if there is none. */
	readonly getProcessId: () => number | undefined;
	readonly isReady: () => Promise<boolean>;
	/** Waits until the node is ready or closed, or the wait times out. */
	readonly waitUntilReady: () => Promise<boolean>;
	/** Sends SIGSTOP, and SIGCONT when the last of overlapping pauses ends. */
	readonly pause: (forMs: number) => Promise<void>;
	/** Sends SIGKILL, starts a new process after `downMs`, and waits until it is ready. */
	readonly killAndRestart: (downMs: number) => Promise<void>;
	/** Sends SIGTERM, and SIGKILL when the grace period is over. Starts a new process after `downMs`, and waits until it is ready. */
	readonly stopAndRestart: (downMs: number) => Promise<void>;
	/** Sends SIGTERM once more to a process that is stopping. */
	readonly repeatStop: () => void;
	/** Steps the clock of a process that was started with a module for it, or steps it back. Returns false if no process is ready for it. */
	readonly stepClock: () => boolean;
	/** Sends SIGHUP several times, with changed or malformed settings, then writes the original settings. */
	readonly reloadSettings: (times: number, isUnreadable: boolean) => Promise<void>;
	/** Sends SIGKILL and does not restart the node. */
	readonly close: () => Promise<void>;
};

/** What a node process is started with beside its program. */
export type ProcessStart = {
	/** URLs of modules that are loaded before the program. */
	readonly preloads: readonly string[];
	readonly environment: Readonly<Record<string, string>>;
};

const plainStart: ProcessStart = {preloads: [], environment: {}};

type ProcessRun = {
	readonly child: ChildProcess;
	readonly startedAt: number;
	readonly ended: Promise<void>;
	/** When SIGTERM was sent, in Unix milliseconds. */
	askedAt: number | undefined;
	isKilled: boolean;
	/** Whether the process was paused between SIGTERM and its end. */
	wasPausedWhileStopping: boolean;
	/** Whether the node has been ready. Before that, it may not have installed its signal handlers. */
	wasReady: boolean;
	/** Number of overlapping pauses that have not ended. */
	pauseCount: number;
};

/** How long to wait until a node is ready. */
const readyTimeoutMs = 20_000;
const readyPollIntervalMs = 100;

/** Time between two SIGHUPs. */
const signalIntervalMs = 30;

const children = new Set<ChildProcess>();

// Kills all nodes when the soak ends, also when it fails.
process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/**
 * Starts a node. A process that ends without a signal from the soak is restarted.
 *
 * @param parameters - Its name, service, addresses and limits.
 * @param folder - The folder for its settings and its log.
 * @param processStart - What its processes are started with beside the program.
 * @returns The node.
 */
export function startSoakNode(parameters: NodeParameters, folder: string, processStart: ProcessStart = plainStart): SoakNode {
	const {name} = parameters;
	const {preloads, environment} = processStart;
	const settingsFile = path.join(folder, `${name}.settings`);
	const logFile = path.join(folder, `${name}.log`);
	const readiness = createReadinessAddress(parameters.host);
	const log = openSync(logFile, 'a');
	const lifetimes: Lifetime[] = [];
	let currentRun: ProcessRun | undefined;
	let isClosed = false;

	const recordEnd = (index: number, {startedAt, askedAt, isKilled, wasPausedWhileStopping, wasReady}: ProcessRun, code: number | undefined, signal: string | undefined): void => {
		const at = Date.now();
		const end: Lifetime['end'] = isKilled
			? {type: 'killed', at}
			: (askedAt === undefined
				? {
					type: 'unasked', code, signal, at,
				}
				: {
					type: 'stopped', code, signal, at, askedAt, wasHeld: wasPausedWhileStopping, wasReady,
				});
		lifetimes[index] = {node: name, startedAt, end};
	};

	const writeSettings = (text: string): void => {
		writeFileSync(settingsFile, text);
	};

	const start = (): void => {
		if (isClosed || currentRun !== undefined) {
			return;
		}

		writeSettings(renderSettings(parameters));
		const child = spawn(process.execPath, [...readProgramOptions(), ...preloads.flatMap(file => ['--import', file]), findProgram('apps/sidecar/main.js'), settingsFile], {
			stdio: ['ignore', log, log], env: {...process.env, ...environment},
		});
		children.add(child);
		const index = lifetimes.length;
		const startedAt = Date.now();
		lifetimes.push({node: name, startedAt, end: {type: 'running'}});
		const ended = new Promise<void>(resolve => {
			child.once('exit', (code, signal) => {
				recordEnd(index, run, code ?? undefined, signal ?? undefined);
				currentRun = undefined;
				children.delete(child);
				resolve();
				if (!run.isKilled && run.askedAt === undefined) {
					start();
				}
			});
		});
		const run: ProcessRun = {
			child, startedAt, ended, askedAt: undefined, isKilled: false, wasPausedWhileStopping: false, wasReady: false, pauseCount: 0,
		};
		currentRun = run;
	};

	const isReady = async (): Promise<boolean> => fetchReadiness(readiness);
	const waitUntilReady = async (): Promise<boolean> => waitUntil(async () => {
		const run = currentRun;
		if (run === undefined || !(await isReady())) {
			return isClosed;
		}

		run.wasReady = true;
		return true;
	}, readyTimeoutMs, readyPollIntervalMs);

	const startAfterDelay = async (downMs: number): Promise<void> => {
		await sleep(downMs);
		start();
		await waitUntilReady();
	};

	start();
	const {callers, announcements, gossip} = createListenAddresses(parameters.host);
	return {
		name,
		parameters,
		callerAddress: callers,
		announcementAddress: announcements,
		gossipAddress: gossip,
		logFile,
		lifetimes,
		getProcessId: () => currentRun?.child.pid,
		isReady,
		waitUntilReady,
		async pause(forMs) {
			const run = currentRun;
			if (run === undefined) {
				return;
			}

			run.wasPausedWhileStopping ||= run.askedAt !== undefined;
			run.pauseCount++;
			run.child.kill('SIGSTOP');
			await sleep(forMs);
			run.pauseCount--;
			if (run.pauseCount === 0) {
				run.child.kill('SIGCONT');
			}
		},
		async killAndRestart(downMs) {
			const run = currentRun;
			if (run === undefined) {
				return;
			}

			run.isKilled = true;
			run.child.kill('SIGKILL');
			await run.ended;
			await startAfterDelay(downMs);
		},
		async stopAndRestart(downMs) {
			const run = currentRun;
			if (run === undefined || run.askedAt !== undefined) {
				return;
			}

			run.askedAt = Date.now();
			run.wasPausedWhileStopping ||= run.pauseCount > 0;
			run.child.kill('SIGTERM');
			const timer = setTimeout(() => {
				run.child.kill('SIGKILL');
			}, parameters.graceMs);
			await run.ended;
			clearTimeout(timer);
			await startAfterDelay(downMs);
		},
		repeatStop() {
			if (currentRun?.askedAt !== undefined) {
				currentRun.child.kill('SIGTERM');
			}
		},
		stepClock() {
			return currentRun?.wasReady === true && currentRun.child.kill('SIGUSR2');
		},
		async reloadSettings(times, isUnreadable) {
			const run = currentRun;
			for (let sent = 0; sent < times && run?.wasReady && currentRun === run; sent++) {
				writeSettings(isUnreadable ? '{"node":' : renderSettings({...parameters, retrySlack: parameters.retrySlack + sent}));
				run.child.kill('SIGHUP');
				await sleep(signalIntervalMs);
			}

			// A process that starts later needs valid settings.
			writeSettings(renderSettings(parameters));
		},
		async close() {
			isClosed = true;
			const run = currentRun;
			if (run !== undefined) {
				run.isKilled = true;
				run.child.kill('SIGKILL');
				await run.ended;
			}
		},
	};
}
