/**
 * The departures of backend servers on a sidecar node: records those of its own
 * server, learns them from the store and the other nodes, and excludes the servers
 * from requests.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';
import {toLifetimeKey, type ServerLifetime} from '../common/server-lifetime.js';
import {type LeavingServers} from '../server-notices/leaving-servers.js';
import {type PeerReport} from '../peers/peer-report.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type Departure} from './departure.js';
import {createDepartureTable} from './departure-table.js';

/** @internal */
export type ServerDeparturesContext = {
	readonly self: NodeId;
	readonly log: MeshLog;
	readonly leaving: Pick<LeavingServers, 'add'>;
	/** Writes a departure to the store. Resolves when the write has succeeded or failed. */
	readonly publish: (departure: Departure) => Promise<void>;
	/** Returns whether departures of the server beside this node are not known to be in the store. */
	readonly hasUnstored: () => boolean;
	/** Returns whether another node is heard. It has received the departures of the server beside this node, unless the network works in one direction only. */
	readonly hasHeardNode: () => boolean;
	/** Called with a lifetime of the server beside this node that departed in an earlier run of this node. */
	readonly handleOwnDeparted: (lifetime: ServerLifetime) => void;
};

/** @internal */
export type ServerDepartures = {
	/** Records that the server beside this node departs. */
	readonly recordOwn: (lifetimes: readonly ServerLifetime[]) => void;
	/** Handles the departures that the store lists, also if there are none. */
	readonly handleListed: (departures: readonly Departure[]) => void;
	/** Handles the departures in a report: those at its sender, and those at this node. */
	readonly handleReport: (report: PeerReport) => void;
	/** Returns whether a report calls a server ready that has departed: its sender must be told. */
	readonly isRefuted: (report: PeerReport) => boolean;
	/** Lists the departures for a report to all nodes, or to one of them. */
	readonly listFor: (receiver?: NodeId) => readonly Departure[];
	/** Waits until this node knows the departures of its earlier runs, at most `maxWaitForListMs` after its start. */
	readonly waitUntilKnown: () => Promise<void>;
	/** Waits until the departures recorded so far are in the store, or their writes have failed, at most `maxWaitForWriteMs`. */
	readonly waitUntilStored: () => Promise<void>;
	/** Returns whether the departures of the server beside this node outlast a restart of this node: the store or another node knows them. */
	readonly areReplicated: () => boolean;
	readonly count: () => number;
	readonly dispose: () => void;
};

/** How long after its start a node waits for the store before it uses a server that announces itself. Without the store it learns departures from the other nodes only. Backend servers wait a second for an acknowledgement. */
const maxWaitForListMs = 900;

/** How long an acknowledgement waits for the store. Without the store, a departure rests on the other nodes, which were told before. */
const maxWaitForWriteMs = 500;

/**
 * @param context - The gate, the store and the log.
 * @returns The departures, with none known yet.
 * @internal
 */
export function createServerDepartures({self, log, leaving, publish, hasUnstored, hasHeardNode, handleOwnDeparted}: ServerDeparturesContext): ServerDepartures {
	const table = createDepartureTable(self);
	const startedAt = readSteadyMs();
	/** Aborted when the store has listed the departures, or the node ends. */
	const listed = new AbortController();
	const openWrites = new Set<Promise<void>>();

	const write = async (departure: Departure): Promise<void> => {
		const publishing = publish(departure);
		openWrites.add(publishing);
		await publishing;
		openWrites.delete(publishing);
	};

	const add = (departure: Departure): boolean => {
		leaving.add(toLifetimeKey(departure.lifetime));
		return table.add(departure, readSteadyMs());
	};

	const learn = (departure: Departure, from: string): void => {
		if (!add(departure) || departure.node !== self) {
			return;
		}

		const {lifetime} = departure;
		log.record('info', {
			kind: 'server-departed', server: lifetime.id, startedAt: lifetime.startedAt, from,
		});
		handleOwnDeparted(lifetime);
	};

	return {
		recordOwn(lifetimes) {
			for (const lifetime of lifetimes) {
				const departure = {node: self, lifetime};
				if (add(departure)) {
					void write(departure);
				}
			}
		},
		handleListed(departures) {
			for (const departure of departures) {
				learn(departure, 'store');
			}

			listed.abort();
		},
		handleReport({node, departures}) {
			for (const departure of departures) {
				if (departure.node === node || departure.node === self) {
					learn(departure, node);
				}
			}
		},
		isRefuted: ({node, server}) => server?.state === 'ready' && table.has({node, lifetime: server.lifetime}),
		listFor: receiver => table.listFor(receiver, readSteadyMs()),
		async waitUntilKnown() {
			const leftMs = startedAt + maxWaitForListMs - readSteadyMs();
			if (!listed.signal.aborted && leftMs > 0) {
				await waitFor(leftMs, listed.signal);
			}
		},
		async waitUntilStored() {
			if (openWrites.size === 0) {
				return;
			}

			const ended = new AbortController();
			await Promise.race([Promise.all(openWrites), waitFor(maxWaitForWriteMs, ended.signal)]);
			ended.abort();
		},
		areReplicated: () => !hasUnstored() || hasHeardNode(),
		count: table.count,
		dispose() {
			listed.abort();
		},
	};
}
