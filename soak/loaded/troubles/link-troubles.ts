/**
 * Troubles with the links between nodes. They affect what other nodes send to some of them.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type LinkMode} from '../../link-proxy.js';
import {pickVms, type Trouble} from './trouble.js';

const affectedShare = 0.2;
const blockedMs = 2500;

/** Time between two resets of all connections of a link, and their number. */
const resetIntervalMs = 400;
const resets = 6;

function createLinkTrouble(mode: LinkMode): Trouble {
	return async context => {
		const vms = pickVms(context, affectedShare);
		const from = Date.now();
		for (const vm of vms) {
			vm.setPeerLinkMode(mode);
		}

		await sleep(blockedMs);
		for (const vm of vms) {
			vm.setPeerLinkMode('pass');
			context.addDisturbance({
				node: vm.node.name, type: 'held', from, to: Date.now(),
			});
		}
	};
}

export const linkTroubles: Readonly<Record<string, Trouble>> = {
	'link-silent': createLinkTrouble('silence'),
	'link-cut-to-node': createLinkTrouble('cut-to-server'),
	'link-cut-from-node': createLinkTrouble('cut-to-client'),
	'link-slow': createLinkTrouble('delay'),
	async 'link-resets'(context) {
		const vms = pickVms(context, affectedShare);
		for (let count = 0; count < resets; count++) {
			for (const vm of vms) {
				const from = Date.now();
				vm.setPeerLinkMode('reset');
				vm.setPeerLinkMode('pass');
				context.addDisturbance({
					node: vm.node.name, type: 'broken', from, to: from,
				});
			}

			await sleep(resetIntervalMs);
		}
	},
};
