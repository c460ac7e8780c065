/**
 * Troubles with the processes of nodes.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {pickVms, type Trouble} from './trouble.js';

const downMs = 300;
const frozenMs = 1500;

/** Share of the nodes whose clocks step, and for how long. */
const steppedShare = 0.28;
const steppedMs = 4000;

/** Signals to a process that stops, and the longest time between two of them. */
const repeatedSignals = 3;
const signalIntervalMs = 700;

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
		const from = Date.now();
		const restarted = node.killAndRestart(downMs);
		addDisturbance({
			node: node.name, type: 'broken', from, to: from + downMs,
		});
		await restarted;
	},
	async freeze({addDisturbance, vms, random}) {
		const {node} = vms[Math.floor(random() * vms.length)]!;
		const from = Date.now();
		await node.pause(frozenMs);
		addDisturbance({
			node: node.name, type: 'held', from, to: Date.now(),
		});
	},
	async 'clock-step'(context) {
		const vms = pickVms(context, steppedShare);
		const from = Date.now();
		for (const {node} of vms) {
			node.stepClock();
		}

		await sleep(steppedMs);
		for (const {node} of vms) {
			node.stepClock();
			context.addDisturbance({
				node: node.name, type: 'held', from, to: Date.now(),
			});
		}
	},
};
