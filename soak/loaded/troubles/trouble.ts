/**
 * A kind of trouble of a loaded mesh.
 *
 * @module
 */
import {type PlatformStore} from '../../../stand-ins/platform-store/platform-store.js';
import {type LoadedDisturbance} from '../check-lost.js';
import {type LoadedCallers} from '../loaded-callers.js';
import {type LoadedVm} from '../loaded-vm.js';

/** What a trouble can act on. */
export type TroubleContext = {
	readonly vms: readonly LoadedVm[];
	readonly store: PlatformStore;
	readonly callers: LoadedCallers;
	/** Random numbers, 0 to 1. */
	readonly random: () => number;
	/** Names of the faults of answers that all servers have at present. */
	readonly answerFaultNames: Set<string>;
	/** Writes the next configuration. */
	readonly changeConfig: () => void;
	readonly addDisturbance: (disturbance: LoadedDisturbance) => void;
};

/** Applies a trouble once, and returns when it is over. The VM is the one that all troubles of a strike have in common. */
export type Trouble = (context: TroubleContext, vm: LoadedVm) => Promise<void>;

/**
 * Picks VMs at random.
 *
 * @param context - The mesh.
 * @param share - The share of the VMs, 0 to 1; at least one is picked.
 * @returns The VMs.
 */
export function pickVms({vms, random}: TroubleContext, share: number): readonly LoadedVm[] {
	const shuffled = vms.map(vm => ({vm, rank: random()})).toSorted((left, right) => left.rank - right.rank);
	return shuffled.slice(0, Math.max(1, Math.round(share * vms.length))).map(({vm}) => vm);
}
