/**
 * The responses of the operators' port.
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

/** The active configuration of one node. @public */
export type ConfigurationResponse = {
	readonly version: number;
	readonly digest: string;
	readonly items: readonly ConfiguredItem[];
};

/** The state of one node. @public */
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
	/** Processor time that the process has used, in microseconds. `heapBytes` and `residentBytes` are its memory in bytes. */
	readonly cpuMicroseconds: number;
	readonly heapBytes: number;
	readonly residentBytes: number;
};

/** The active versions in all failure domains. @public */
export type FleetResponse = {
	readonly domains: readonly DomainStatus[];
};

/** @public */
export type DomainStatus = {
	readonly failureDomain: string;
	/** Number of nodes that are usable according to the directory. */
	readonly expected: number;
	/** `undefined` if there is no recent report of the domain's relay. */
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

/** How a request would be routed, and why. @public */
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

/** A node with the address of its operators' port. @public */
export type OperatorEndpoint = {
	readonly node: string;
	readonly failureDomain: string;
	readonly status: NodeStatus;
	readonly operatorAddress: string;
};

/**
 * Finds the failure domains in which a version is not active on all nodes.
 *
 * @param fleet - The reports of the failure domains.
 * @param version - The version.
 * @returns One text for each such domain with the reason; empty if the version is active on all nodes.
 * @public
 */
export function findConvergenceProblems(fleet: FleetResponse, version: number): readonly string[] {
	return fleet.domains.flatMap(({failureDomain, expected, summary}) => {
		if (summary === undefined) {
			return [`${failureDomain}: no recent report from its relay`];
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
