/**
 * Troubles with the processes of nodes.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type SoakNode} from '../../soak-node.js';
import {pickVms, type Trouble} from './trouble.js';

const downMs = 300;
const frozenMs = 1500;

/** Share of the nodes whose clocks step, and for how long. */
const steppedShare = 0.28;
const steppedMs = 4000;

/** Signals to a process that stops, and the longest time between two of them. */
const repeatedSignals = 3;
const signalIntervalMs = 700;

/** Whether there is a process to disturb. Between two processes of a node nothing happens, and nothing is excused. */
const isRunning = ({getProcessId}: SoakNode): boolean => getProcessId() !== undefined;

export const nodeTroubles: Readonly<Record<string, Trouble>> = {
	async stop(_context, {node}) {
		await node.stopAndRestart(downMs);
	},
	async 'stop-restart-at-once'(_context, {node}) {
		await node.stopAndRestart(0);
	},
	async 'stop-twice'({random}, {node}) {
		const stopped = node.stopAndRestart(downMs);
		for (let sent = 0; sent < repeatedSignals; sent++) {
			await sleep(random() * signalIntervalMs);
			node.repeatStop();
		}

		await stopped;
	},
	async 'reload-while-stopping'({random}, {node}) {
		const stopped = node.stopAndRestart(downMs);
		for (let sent = 0; sent < repeatedSignals; sent++) {
			await sleep(random() * signalIntervalMs);
			await node.reloadSettings(1, false);
		}

		await stopped;
	},
	async kill({addDisturbance, vms, random}) {
		const {node} = vms[Math.floor(random() * vms.length)]!;
		if (!isRunning(node)) {
			return;
		}

		const from = Date.now();
		const restarted = node.killAndRestart(downMs);
		addDisturbance({
			node: node.name, type: 'broken', from, to: from + downMs,
		});
		await restarted;
	},
	async freeze({addDisturbance, vms, random}) {
		const {node} = vms[Math.floor(random() * vms.length)]!;
		if (!isRunning(node)) {
			return;
		}

		const from = Date.now();
		await node.pause(frozenMs);
		addDisturbance({
			node: node.name, type: 'held', from, to: Date.now(),
		});
	},
	async 'clock-step'(context) {
		const from = Date.now();
		const stepped = pickVms(context, steppedShare).filter(({node}) => node.stepClock());
		await sleep(steppedMs);
		for (const {node} of stepped) {
			node.stepClock();
			context.addDisturbance({
				node: node.name, type: 'held', from, to: Date.now(),
			});
		}
	},
};
