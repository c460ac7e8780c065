/**
 * Troubles with the platform's store.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type StoreFault} from '../../../stand-ins/platform-store/platform-store.js';
import {type LinkMode} from '../../link-proxy.js';
import {pickVms, type Trouble} from './trouble.js';

const awayMs = 3500;

/** Latency of each call to a slow store. */
const slowStoreLatencyMs = 700;

/** Share of the nodes that the store refuses. */
const refusedNodes = 0.35;

function createStoreTrouble(fault: StoreFault, latencyMs = 0): Trouble {
	return async ({store}) => {
		store.setFault(fault, latencyMs);
		await sleep(awayMs);
		store.setFault('none');
	};
}

function createRefusal(mode: LinkMode): Trouble {
	return async context => {
		const vms = pickVms(context, refusedNodes);
		for (const vm of vms) {
			vm.setStoreLinkMode(mode);
		}

		await sleep(awayMs);
		for (const vm of vms) {
			vm.setStoreLinkMode('pass');
		}
	};
}

export const storeTroubles: Readonly<Record<string, Trouble>> = {
	'store-silent': createStoreTrouble('silent'),
	'store-reset': createStoreTrouble('reset'),
	'store-busy': createStoreTrouble('busy'),
	'store-slow': createStoreTrouble('none', slowStoreLatencyMs),
	'store-loses-answers': createStoreTrouble('lost'),
	'store-refuses-nodes': createRefusal('turn-away'),
	'store-resets-nodes': createRefusal('reset'),
	'store-silent-to-nodes': createRefusal('silence'),
	async 'store-watches-cut'({store}) {
		store.keys.compactHistory();
		store.stallWatchConnections();
		await sleep(awayMs);
	},
};
