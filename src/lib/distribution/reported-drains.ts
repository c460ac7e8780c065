/**
 * Records which backend servers other nodes have reported as leaving, so that a
 * node that restarts without its state can learn which of its servers must get no
 * requests.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type BackendServerId, type NodeId} from '../common/ids.js';
import {type NodeRecord} from '../directory/node-record.js';

/** @internal */
export type ReportedDrains = {
	readonly record: (record: Pick<NodeRecord, 'id' | 'epoch' | 'servers'>) => void;
	/** Returns the servers that the node has reported as leaving, also in earlier runs. */
	readonly get: (node: NodeId) => readonly BackendServerId[];
	readonly prune: () => void;
};

type DrainReport = {
	/** The run of the node that reported last. */
	readonly epoch: number;
	/** The servers that leave by that report. */
	readonly current: readonly BackendServerId[];
	/** The servers that left in earlier runs, and that the current run does not report as leaving. */
	readonly before: readonly BackendServerId[];
	/** When a server was last reported as leaving, or the node restarted. In milliseconds since the epoch. */
	readonly at: number;
};

/** How long the report of a node is kept, as long as the record of a node that is gone. A server that leaves does not run longer. */
const reportTtlMs = 600_000;

/**
 * @returns An empty table of reported drains.
 * @internal
 */
export function createReportedDrains(): ReportedDrains {
	const reports = new Map<NodeId, DrainReport>();

	const listBefore = (known: DrainReport | undefined, epoch: number, current: readonly BackendServerId[]): readonly BackendServerId[] => {
		if (known === undefined) {
			return [];
		}

		// Within one run, a server that the record no longer lists as leaving has withdrawn.
		const before = known.epoch === epoch ? known.before : [...known.before, ...known.current];
		return before.filter(id => !current.includes(id));
	};

	return {
		record({id, epoch, servers}) {
			const known = reports.get(id);
			if (known !== undefined && epoch < known.epoch) {
				return;
			}

			const current = servers.filter(({isLeaving}) => isLeaving).map(server => server.id);
			const before = listBefore(known, epoch, current);
			if (current.length === 0 && before.length === 0) {
				reports.delete(id);
				return;
			}

			const isRepeated = known?.epoch === epoch && current.length === 0;
			reports.set(id, {
				epoch, current, before, at: isRepeated ? known.at : readNow(),
			});
		},
		get(node) {
			const {current = [], before = []} = reports.get(node) ?? {};
			return [...current, ...before];
		},
		prune() {
			const expiredBefore = readNow() - reportTtlMs;
			for (const [node, {at}] of reports) {
				if (at < expiredBefore) {
					reports.delete(node);
				}
			}
		},
	};
}
