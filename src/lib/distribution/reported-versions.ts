/**
 * Remembers which version every other node last reported, so that a node that
 * comes back without memory can be told what it had.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';

/** @internal */
export type ReportedVersions = {
	readonly record: (node: NodeId, version: number) => void;
	/** The highest version the node has reported, 0 if it was never heard of. */
	readonly get: (node: NodeId) => number;
	readonly prune: () => void;
};

type VersionReport = {readonly version: number; readonly at: number};

/** Milliseconds for which a node that is silent is remembered. */
const reportTtlMs = 3_600_000;

/**
 * @returns An empty memory.
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
