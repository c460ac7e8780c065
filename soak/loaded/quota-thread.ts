/**
 * The thread that keeps processes to a share of a processor core: it stops a process that has used its share of a
 * period until the period ends, as the scheduler of the users' VMs does. It has a thread of its own, since the main
 * thread is busy with callers and servers.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parentPort, workerData} from 'node:worker_threads';

/** The period of the quota, as of the scheduler. */
const periodMs = 100;

/** How often the use of a running process is read. */
const pollMs = 4;

const nanosecondsPerMillisecond = 1e6;

type LimitedProcess = {usedAtStart: number; isStopped: boolean};

/** Returns the processor time that the main thread of a process has used, in milliseconds; `undefined` if it has ended. */
function readUsedMs(processId: number): number | undefined {
	try {
		return Number(readFileSync(`/proc/${processId}/schedstat`, 'utf8').split(' ', 1)[0]) / nanosecondsPerMillisecond;
	} catch {
		return undefined;
	}
}

function trySignal(processId: number, signal: NodeJS.Signals): void {
	try {
		process.kill(processId, signal);
	} catch {
		// It has ended since its use was read.
	}
}

const {share} = workerData as {readonly share: number};
const limited = new Map<number, LimitedProcess>();
let periodEndsAt = performance.now() + periodMs;

parentPort?.on('message', (processIds: readonly number[]) => {
	for (const processId of limited.keys()) {
		if (!processIds.includes(processId)) {
			limited.delete(processId);
		}
	}

	for (const processId of processIds) {
		if (!limited.has(processId)) {
			limited.set(processId, {usedAtStart: readUsedMs(processId) ?? 0, isStopped: false});
		}
	}
});

function startPeriod(): void {
	for (const [processId, state] of limited) {
		state.usedAtStart = readUsedMs(processId) ?? 0;
		if (state.isStopped) {
			state.isStopped = false;
			trySignal(processId, 'SIGCONT');
		}
	}
}

setInterval(() => {
	const now = performance.now();
	if (now >= periodEndsAt) {
		periodEndsAt = Math.max(periodEndsAt + periodMs, now);
		startPeriod();
		return;
	}

	for (const [processId, state] of limited) {
		const usedMs = readUsedMs(processId);
		if (!state.isStopped && usedMs !== undefined && usedMs - state.usedAtStart >= share * periodMs) {
			state.isStopped = true;
			trySignal(processId, 'SIGSTOP');
		}
	}
}, pollMs);
