/**
 * What the operators' port answers.
 *
 * @module
 */
import {type ConfiguredItem} from '../configuration/configured-item.js';
import {type Problem} from '../configuration/problem.js';
import {type ByteCounts} from '../common/byte-meter.js';
import {type BackendServer, type NodeStatus} from '../directory/node-record.js';
import {type Summary} from '../distribution/summary.js';
import {type Decision} from '../policy/decision.js';
import {type StoreCounts} from '../store/budgeted-store.js';

/** The configuration in force on one node. @public */
export type ConfigurationResponse = {
	readonly version: number;
	readonly digest: string;
	readonly items: readonly ConfiguredItem[];
};

/** One node's own state. @public */
export type NodeStatusResponse = {
	readonly node: string;
	readonly failureDomain: string;
	readonly version: number;
	readonly digest: string;
	readonly floor: number;
	readonly isReady: boolean;
	readonly isRelay: boolean;
	readonly isDraining: boolean;
	readonly relay: string;
	readonly parent: string;
	readonly children: readonly string[];
	readonly knownNodes: number;
	readonly store: StoreCounts;
	readonly controlBytes: ByteCounts;
	readonly addedMicroseconds: {readonly p50: number; readonly p99: number};
	/** Processor time of the process, in microseconds, and its memory, in bytes. */
	readonly cpuMicroseconds: number;
	readonly heapBytes: number;
	readonly residentBytes: number;
};

/** What is in force in every failure domain. @public */
export type FleetResponse = {
	readonly domains: readonly DomainStatus[];
};

/** @public */
export type DomainStatus = {
	readonly failureDomain: string;
	/** Nodes that the directory holds for usable. */
	readonly expected: number;
	/** `undefined` when the domain's relay has not reported lately. */
	readonly summary: Summary | undefined;
};

/** @public */
export type ServerStatus = {
	readonly server: BackendServer;
	readonly node: string;
	readonly failureDomain: string;
	readonly nodeStatus: NodeStatus;
	readonly isEjected: boolean;
};

/** What would become of a request, and why. @public */
export type ExplainResponse = {
	readonly version: number;
	readonly route: string;
	readonly pool: string;
	readonly policy: string;
	readonly decision: Decision | undefined;
	readonly problem: string;
	readonly servers: readonly string[];
};

/** @public */
export type CheckResponse = {readonly problems: readonly Problem[]};

/** Where to find a node's operators' port. @public */
export type OperatorEndpoint = {
	readonly node: string;
	readonly failureDomain: string;
	readonly status: NodeStatus;
	readonly operatorAddress: string;
};

/**
 * Judges whether a version is in force everywhere.
 *
 * @param fleet - What the failure domains reported.
 * @param version - The version.
 * @returns Why not, domain by domain; empty when it is.
 * @public
 */
export function findConvergenceProblems(fleet: FleetResponse, version: number): readonly string[] {
	return fleet.domains.flatMap(({failureDomain, expected, summary}) => {
		if (summary === undefined) {
			return [`${failureDomain}: its relay has not reported lately`];
		}

		if (summary.nodes < expected) {
			return [`${failureDomain}: ${expected - summary.nodes} of ${expected} nodes have not reported yet`];
		}

		if (summary.lowestVersion >= version) {
			return [];
		}

		const laggards = summary.laggards
			.filter(laggard => laggard.version < version)
			.map(({node, version: nodeVersion, reason}) => `${node} has ${nodeVersion}${reason === '' ? '' : ` (${reason})`}`);
		return [`${failureDomain}: ${laggards.join(', ')}`];
	});
}
