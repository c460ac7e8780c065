/**
 * One node of a soak: the real program as a process, under signals that may
 * overlap, and what became of each of its lifetimes.
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
	readonly place: NodeParameters;
	readonly callers: string;
	readonly announcements: string;
	readonly gossip: string;
	readonly logFile: string;
	readonly lifetimes: readonly Lifetime[];
	readonly isReady: () => Promise<boolean>;
	/** Waits until it is ready, or has ended for good. */
	readonly waitReady: () => Promise<boolean>;
	readonly pause: (forMs: number) => Promise<void>;
	/** SIGKILL, and a new process after some time; waits until that is ready. */
	readonly kill: (downMs: number) => Promise<void>;
	/** SIGTERM, SIGKILL when the grace period is over, and a new process after some time; waits until that is ready. */
	readonly stop: (downMs: number) => Promise<void>;
	readonly hangUp: (times: number, isUnreadable: boolean) => Promise<void>;
	/** Ends it for good. */
	readonly close: () => Promise<void>;
};

type Run = {
	readonly child: ChildProcess;
	readonly startedAt: number;
	readonly ended: Promise<void>;
	askedAt: number | undefined;
	isKilled: boolean;
	/** It was paused between SIGTERM and its end. */
	isHeld: boolean;
	/** It has taken over its signals: before, nothing that it does could. */
	wasReady: boolean;
	pauses: number;
};

/** A node that is not ready by then is not waited for. Milliseconds. */
const readyMs = 20_000;
const readyPollMs = 100;

/** Milliseconds between two signals in a row. */
const signalPauseMs = 30;

const children = new Set<ChildProcess>();

// No process outlives the soak, however that ends.
process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/**
 * Starts a node.
 *
 * @param place - Where it stands.
 * @param folder - Where its settings and its log go.
 * @returns The node.
 */
export function startSoakNode(place: NodeParameters, folder: string): SoakNode {
	const {name} = place;
	const settingsFile = path.join(folder, `${name}.settings`);
	const logFile = path.join(folder, `${name}.log`);
	const readiness = createReadinessAddress(place.host);
	const log = openSync(logFile, 'a');
	const lifetimes: Lifetime[] = [];
	let run: Run | undefined;
	let isClosed = false;

	const noteEnd = (index: number, {startedAt, askedAt, isKilled, isHeld, wasReady}: Run, code: number | undefined, signal: string | undefined): void => {
		const at = Date.now();
		const end: Lifetime['end'] = isKilled
			? {type: 'killed', at}
			: (askedAt === undefined
				? {
					type: 'unasked', code, signal, at,
				}
				: {
					type: 'stopped', code, signal, at, askedAt, wasHeld: isHeld, wasReady,
				});
		lifetimes[index] = {node: name, startedAt, end};
	};

	const writeSettings = (text: string): void => {
		writeFileSync(settingsFile, text);
	};

	const start = (): void => {
		if (isClosed || run !== undefined) {
			return;
		}

		writeSettings(renderSettings(place));
		const child = spawn(process.execPath, [...readProgramOptions(), findProgram('apps/sidecar/main.js'), settingsFile], {stdio: ['ignore', log, log]});
		children.add(child);
		const index = lifetimes.length;
		const startedAt = Date.now();
		lifetimes.push({node: name, startedAt, end: {type: 'running'}});
		const ended = new Promise<void>(resolve => {
			child.once('exit', (code, signal) => {
				noteEnd(index, own, code ?? undefined, signal ?? undefined);
				run = undefined;
				children.delete(child);
				resolve();
				if (!own.isKilled && own.askedAt === undefined) {
					start();
				}
			});
		});
		const own: Run = {
			child, startedAt, ended, askedAt: undefined, isKilled: false, isHeld: false, wasReady: false, pauses: 0,
		};
		run = own;
	};

	const isReady = async (): Promise<boolean> => fetchReadiness(readiness);
	const waitReady = async (): Promise<boolean> => waitUntil(async () => {
		const own = run;
		if (own === undefined || !(await isReady())) {
			return isClosed;
		}

		own.wasReady = true;
		return true;
	}, readyMs, readyPollMs);

	const startAgain = async (downMs: number): Promise<void> => {
		await sleep(downMs);
		start();
		await waitReady();
	};

	start();
	const {callers, announcements, gossip} = createListenAddresses(place.host);
	return {
		name,
		place,
		callers,
		announcements,
		gossip,
		logFile,
		lifetimes,
		isReady,
		waitReady,
		async pause(forMs) {
			const own = run;
			if (own === undefined) {
				return;
			}

			own.isHeld ||= own.askedAt !== undefined;
			own.pauses++;
			own.child.kill('SIGSTOP');
			await sleep(forMs);
			own.pauses--;
			if (own.pauses === 0) {
				own.child.kill('SIGCONT');
			}
		},
		async kill(downMs) {
			const own = run;
			if (own === undefined) {
				return;
			}

			own.isKilled = true;
			own.child.kill('SIGKILL');
			await own.ended;
			await startAgain(downMs);
		},
		async stop(downMs) {
			const own = run;
			if (own === undefined || own.askedAt !== undefined) {
				return;
			}

			own.askedAt = Date.now();
			own.isHeld ||= own.pauses > 0;
			own.child.kill('SIGTERM');
			const timer = setTimeout(() => {
				own.child.kill('SIGKILL');
			}, place.graceMs);
			await own.ended;
			clearTimeout(timer);
			await startAgain(downMs);
		},
		async hangUp(times, isUnreadable) {
			const own = run;
			for (let sent = 0; sent < times && own?.wasReady && run === own; sent++) {
				writeSettings(isUnreadable ? '{"node":' : renderSettings({...place, retrySlack: place.retrySlack + sent}));
				own.child.kill('SIGHUP');
				await sleep(signalPauseMs);
			}

			// A process that starts later needs a file that it can read.
			writeSettings(renderSettings(place));
		},
		async close() {
			isClosed = true;
			const own = run;
			if (own !== undefined) {
				own.isKilled = true;
				own.child.kill('SIGKILL');
				await own.ended;
			}
		},
	};
}
