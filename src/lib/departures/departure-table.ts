/**
 * The departures of backend servers that a node knows, by the node beside the
 * server. A node that restarts has forgotten the departures that it acknowledged,
 * so the other nodes remember them and tell it. The table has no timers; the
 * caller passes the time.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {isSameLifetime, type ServerLifetime} from '../common/server-lifetime.js';
import {type Departure} from './departure.js';

/** @internal */
export type DepartureTable = {
	/** Adds a departure. Returns false if it is known. */
	readonly add: (departure: Departure, now: number) => boolean;
	readonly has: (departure: Departure) => boolean;
	/** Lists the recent departures at this node, and those at the receiver of a report if one is given. */
	readonly listFor: (receiver: NodeId | undefined, now: number) => readonly Departure[];
	/** Returns the number of known departures. */
	readonly count: () => number;
};

/** Time for which a node includes a departure of its own server in its reports. It exceeds the longest interval between two heartbeats to one node. */
const reportedForMs = 20_000;

/** Departures remembered for each node. Messages arrive seconds late, and a VM does not see more starts of its server in that time. */
const maxDeparturesPerNode = 8;

/** Nodes for which departures are remembered; the largest peer table has as many. */
const maxNodeCount = 4000;

type RecordedLifetime = {readonly lifetime: ServerLifetime; readonly recordedAt: number};

/**
 * @param self - This node.
 * @returns An empty table.
 * @internal
 */
export function createDepartureTable(self: NodeId): DepartureTable {
	const byNode = new Map<NodeId, readonly RecordedLifetime[]>();

	const get = (node: NodeId): readonly RecordedLifetime[] => byNode.get(node) ?? [];

	const has = ({node, lifetime}: Departure): boolean => get(node).some(known => isSameLifetime(known.lifetime, lifetime));

	const evictOldestNode = (): void => {
		for (const node of byNode.keys()) {
			if (node !== self) {
				byNode.delete(node);
				return;
			}
		}
	};

	const listOf = (node: NodeId): readonly Departure[] => get(node).map(({lifetime}) => ({node, lifetime}));

	const listOwnRecent = (now: number): readonly Departure[] => get(self)
		.filter(({recordedAt}) => now - recordedAt <= reportedForMs)
		.map(({lifetime}) => ({node: self, lifetime}));

	return {
		add(departure, now) {
			if (has(departure)) {
				return false;
			}

			const {node, lifetime} = departure;
			if (!byNode.has(node) && byNode.size >= maxNodeCount) {
				evictOldestNode();
			}

			byNode.set(node, [...get(node), {lifetime, recordedAt: now}].slice(-maxDeparturesPerNode));
			return true;
		},
		has,
		listFor: (receiver, now) => receiver === undefined ? listOwnRecent(now) : [...listOwnRecent(now), ...listOf(receiver)],
		count: () => [...byNode.values()].reduce((sum, lifetimes) => sum + lifetimes.length, 0),
	};
}
