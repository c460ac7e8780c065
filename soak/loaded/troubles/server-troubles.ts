/**
 * Troubles with backend servers as a whole.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type LoadedServer} from '../loaded-server.js';
import {type LoadedVm} from '../loaded-vm.js';
import {pickVms, type Trouble} from './trouble.js';

/** Share of the servers that a strike affects. */
const affectedShare = 0.25;

const crashedMs = 1500;
const reusedMs = 3000;
const hangMs = 1200;
const slowMs = 4000;
const slowFactor = 5;
const refusedShare = 0.45;
const refusingMs = 4000;
const fullMs = 3000;

function createCrash(crash: (vm: LoadedVm) => Promise<void>): Trouble {
	return async context => {
		await Promise.all(pickVms(context, affectedShare).map(async vm => crash(vm)));
	};
}

/** Creates a trouble that changes servers for a time. */
function createServerTrouble(forMs: number, start: (server: LoadedServer) => void, end: (server: LoadedServer) => void): Trouble {
	return async context => {
		const servers = pickVms(context, affectedShare).flatMap(vm => vm.getServer() ?? []);
		for (const server of servers) {
			start(server);
		}

		await sleep(forMs);
		for (const server of servers) {
			end(server);
		}
	};
}

export const serverTroubles: Readonly<Record<string, Trouble>> = {
	crash: createCrash(async vm => vm.crashServer({isSilent: false, isAddressReused: false, downMs: crashedMs})),
	dark: createCrash(async vm => vm.crashServer({isSilent: true, isAddressReused: false, downMs: crashedMs})),
	reuse: createCrash(async vm => vm.crashServer({isSilent: false, isAddressReused: true, downMs: reusedMs})),
	hang: createServerTrouble(hangMs, server => {
		server.setHanging(true);
	}, server => {
		server.setHanging(false);
	}),
	slow: createServerTrouble(slowMs, server => {
		server.setSlowness(slowFactor);
	}, server => {
		server.setSlowness(1);
	}),
	grey: createServerTrouble(refusingMs, server => {
		server.setRefusedShare(refusedShare);
	}, server => {
		server.setRefusedShare(0);
	}),
	full: createServerTrouble(fullMs, server => {
		server.setUsableSlots(1);
	}, server => {
		server.setUsableSlots(undefined);
	}),
};
