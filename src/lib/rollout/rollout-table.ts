/**
 * The rollouts that a node knows, one per service. The table has no timers; the
 * caller passes the time.
 *
 * @module
 */
import {mergeRecords, type RolloutRecord} from './rollout-record.js';

/** @internal */
export type RolloutTable = {
	/** Merges records; returns the ones whose order or stage changed. */
	readonly merge: (records: readonly RolloutRecord[], now: number) => readonly RolloutRecord[];
	/** Returns the rollout of a service, with its current age. */
	readonly get: (service: string, now: number) => RolloutRecord | undefined;
	readonly list: (now: number) => readonly RolloutRecord[];
	/** Returns the number of known rollouts, without the cost of a list. */
	readonly count: () => number;
};

/** A record, and when its order was first read, in steady milliseconds. */
type KnownRollout = {readonly record: RolloutRecord; readonly orderedAt: number};

/** Maximum number of rollouts in the table. Only a sender that invents services exceeds it. */
const maxRolloutCount = 64;

const isChanged = (before: RolloutRecord | undefined, after: RolloutRecord): boolean =>
	before?.stage !== after.stage || before.targetVersion !== after.targetVersion || before.position.revision !== after.position.revision;

/**
 * @returns A table without rollouts.
 * @internal
 */
export function createRolloutTable(): RolloutTable {
	const rollouts = new Map<string, KnownRollout>();
	const describe = ({record, orderedAt}: KnownRollout, now: number): RolloutRecord => ({...record, ageMs: Math.max(0, now - orderedAt)});

	const get = (service: string, now: number): RolloutRecord | undefined => {
		const known = rollouts.get(service);
		return known === undefined ? undefined : describe(known, now);
	};

	return {
		merge(records, now) {
			const changed: RolloutRecord[] = [];
			for (const record of records) {
				const before = get(record.service, now);
				if (before === undefined && rollouts.size >= maxRolloutCount) {
					continue;
				}

				const after = before === undefined ? record : mergeRecords(before, record);
				rollouts.set(record.service, {record: after, orderedAt: now - after.ageMs});
				if (isChanged(before, after)) {
					changed.push(after);
				}
			}

			return changed;
		},
		get,
		list: now => Array.from(rollouts.values(), known => describe(known, now)),
		count: () => rollouts.size,
	};
}
