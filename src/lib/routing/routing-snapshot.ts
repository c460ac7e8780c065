/**
 * A version of the configuration with its routing table. A call uses the same
 * snapshot from start to end.
 *
 * @module
 */
import {type Configuration, type Delta} from '../configuration/configuration.js';
import {buildRoutingTable, updateRoutingTable, type RoutingTable} from './routing-table.js';

/** @internal */
export type RoutingSnapshot = {
	readonly configuration: Configuration;
	readonly table: RoutingTable;
};

/**
 * Creates the snapshot of a newer version, incrementally where deltas are available.
 *
 * @param snapshot - The previous snapshot, if there is one.
 * @param next - The newer version.
 * @param deltas - The deltas from the previous version to the newer one; empty if there are none.
 * @returns The snapshot of the newer version.
 * @internal
 */
export function advanceSnapshot(snapshot: RoutingSnapshot | undefined, next: Configuration, deltas: readonly Delta[]): RoutingSnapshot {
	if (snapshot === undefined || deltas.length === 0) {
		return {configuration: next, table: buildRoutingTable(next)};
	}

	const changes = deltas.flatMap(delta => delta.changes);
	return {configuration: next, table: updateRoutingTable(snapshot.table, snapshot.configuration, changes)};
}
