/**
 * Records the highest version that each other node has reported, so that a node
 * that restarts without its state can learn which version it had.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';

/** @internal */
export type ReportedVersions = {
	readonly record: (node: NodeId, version: number) => void;
	/** Returns the highest version that the node has reported, or 0 if no report is recorded. */
	readonly get: (node: NodeId) => number;
	readonly prune: () => void;
};

type VersionReport = {readonly version: number; readonly at: number};

/** How long the report of a node is kept. Older reports are removed. */
const reportTtlMs = 3_600_000;

/**
 * @returns An empty table of reported versions.
 * @internal
 */
export function createReportedVersions(): ReportedVersions {
	const reports = new Map<NodeId, VersionReport>();
	const get = (node: NodeId): number => reports.get(node)?.version ?? 0;

	return {
		record(node, version) {
			reports.set(node, {version: Math.max(version, get(node)), at: readNow()});
		},
		get,
		prune() {
			const expiredBefore = readNow() - reportTtlMs;
			for (const [node, report] of reports) {
				if (report.at < expiredBefore) {
					reports.delete(node);
				}
			}
		},
	};
}
