/**
 * A version of the configuration with its routing table: what a call is decided
 * by, from its beginning to its end.
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
 * Makes the snapshot of a newer version.
 *
 * @param snapshot - The snapshot before, if there is one.
 * @param next - The newer version.
 * @param deltas - The steps from the one to the other; empty if there was no way of steps.
 * @returns The newer snapshot.
 * @internal
 */
export function advanceSnapshot(snapshot: RoutingSnapshot | undefined, next: Configuration, deltas: readonly Delta[]): RoutingSnapshot {
	if (snapshot === undefined || deltas.length === 0) {
		return {configuration: next, table: buildRoutingTable(next)};
	}

	const changes = deltas.flatMap(delta => delta.changes);
	return {configuration: next, table: updateRoutingTable(snapshot.table, snapshot.configuration, changes)};
}
