/**
 * Keeps the processes of nodes to a share of a processor core, as on the users' VMs.
 *
 * @module
 */
import {Worker} from 'node:worker_threads';

export type ProcessorQuota = {
	/** Sets which processes are limited. A process that is no longer listed must have ended. */
	readonly setProcesses: (processIds: readonly number[]) => void;
	readonly stop: () => Promise<void>;
};

/**
 * Starts the quota.
 *
 * @param share - The share of a core that each process may use, 0 to 1.
 * @returns The quota, without any process.
 */
export function startProcessorQuota(share: number): ProcessorQuota {
	const thread = new Worker(new URL('quota-thread.js', import.meta.url), {workerData: {share}});
	return {
		setProcesses(processIds) {
			thread.postMessage(processIds);
		},
		async stop() {
			await thread.terminate();
		},
	};
}
