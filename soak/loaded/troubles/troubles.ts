/**
 * All kinds of trouble of a loaded mesh, by name, and the loop that applies them.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type LoadedVm, type VmControls} from '../loaded-vm.js';
import {answerTroubles} from './answer-troubles.js';
import {callerTroubles} from './caller-troubles.js';
import {linkTroubles} from './link-troubles.js';
import {nodeTroubles} from './node-troubles.js';
import {serverTroubles} from './server-troubles.js';
import {storeTroubles} from './store-troubles.js';
import {type Trouble, type TroubleContext} from './trouble.js';

/** All kinds of trouble. */
export const troubles: Readonly<Record<string, Trouble>> = {
	...answerTroubles, ...serverTroubles, ...nodeTroubles, ...storeTroubles, ...linkTroubles, ...callerTroubles,
};

/** Step of the clock of some nodes. */
const clockStepMs = 2400;

/** Returns what the VMs need for troubles. */
export const getControls = (names: readonly string[]): VmControls => ({
	hasStoreLink: names.some(name => name in storeTroubles),
	hasPeerLink: names.some(name => name in linkTroubles),
	clockStepMs: names.includes('clock-step') ? clockStepMs : undefined,
});

/** Time between two strikes. */
const minIntervalMs = 1500;
const maxIntervalMs = 3000;

/** Longest time between the troubles of one strike: a stop may take this long to end the last request. */
const maxOffsetMs = 1200;

/**
 * Applies troubles again and again, all of them around the same time at each strike.
 *
 * @param names - Their names.
 * @param context - The mesh.
 * @param untilMs - No trouble begins later than this, in Unix milliseconds.
 * @returns How often each trouble was applied, when all of them are over.
 */
export async function applyTroubles(names: readonly string[], context: TroubleContext, untilMs: number): Promise<ReadonlyMap<string, number>> {
	const counts = new Map<string, number>();
	const running: Array<Promise<void>> = [];
	/** Troubles in effect that must not be applied a second time meanwhile. */
	const exclusive = new Set<string>();
	const {vms, random} = context;
	const apply = async (name: string, vm: LoadedVm): Promise<void> => {
		await sleep(random() * maxOffsetMs);
		if (exclusive.has(name)) {
			return;
		}

		if (!(name in nodeTroubles) || name === 'clock-step') {
			exclusive.add(name);
		}

		counts.set(name, (counts.get(name) ?? 0) + 1);
		await troubles[name]!(context, vm);
		exclusive.delete(name);
	};

	while (names.length > 0 && Date.now() < untilMs) {
		const vm = vms[Math.floor(random() * vms.length)]!;
		running.push(...names.map(async name => apply(name, vm)));
		await sleep(minIntervalMs + (random() * (maxIntervalMs - minIntervalMs)));
	}

	await Promise.all(running);
	return counts;
}
