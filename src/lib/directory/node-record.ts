/**
 * The record that a node publishes of itself and of the backend servers beside it.
 *
 * @module
 */
import {
	type Address, type BackendServerId, type FailureDomain, type NodeId,
} from '../common/ids.js';

/** A backend server, as its node publishes it. @public */
export type BackendServer = {
	readonly id: BackendServerId;
	readonly service: string;
	readonly address: Address;
	/** Maximum number of requests that it executes concurrently. */
	readonly slots: number;
	/** Maximum number of connections that it accepts concurrently. */
	readonly connections: number;
	/** Start time in milliseconds since the epoch, by the clock of its node. With the ID, it identifies the lifetime of the server. */
	readonly startedAt: number;
	readonly isDraining: boolean;
	/** Whether it drains because it or an operator said so, and not only because its node shuts down. It then drains after a restart of its node, too. */
	readonly isLeaving?: boolean;
};

/** @public */
export type NodeStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** All statuses, in the order in which a later one replaces an earlier one. @public */
export const nodeStatuses: readonly NodeStatus[] = ['alive', 'suspect', 'dead', 'left'];

/** Record of one node. Only the node itself increases its epoch and sequence. Other nodes only change its status to a later one in {@link nodeStatuses}. @public */
export type NodeRecord = {
	readonly id: NodeId;
	readonly failureDomain: FailureDomain;
	/** Address to which other nodes send calls. */
	readonly gateAddress: Address;
	/** Address to which other nodes send configuration and directory messages. */
	readonly controlAddress: Address;
	/** UDP address to which other nodes send heartbeats. */
	readonly gossipAddress: Address;
	/** Address of the operator API. */
	readonly operatorAddress: Address;
	/** Identifies one run of the node. A larger value is newer. */
	readonly epoch: number;
	/** Numbers the records of one run. A larger value is newer. */
	readonly sequence: number;
	readonly status: NodeStatus;
	readonly servers: readonly BackendServer[];
};

/**
 * Compares two records of one node.
 *
 * @param left - A record.
 * @param right - Another record of the same node.
 * @returns Positive if the left one is newer, negative if the right one is, 0 if they are equally new.
 * @internal
 */
export function compareRecords(left: NodeRecord, right: NodeRecord): number {
	if (left.epoch !== right.epoch) {
		return left.epoch - right.epoch;
	}

	if (left.sequence !== right.sequence) {
		return left.sequence - right.sequence;
	}

	return nodeStatuses.indexOf(left.status) - nodeStatuses.indexOf(right.status);
}

/**
 * Formats the fingerprint of a record, from which digests are computed.
 *
 * @param record - A record.
 * @returns The fingerprint. Two records of one node have the same fingerprint if and only if neither is newer.
 * @internal
 */
export function formatRecordFingerprint(record: NodeRecord): string {
	return `${record.epoch}.${record.sequence}.${record.status}`;
}

/**
 * Checks whether a node is usable: alive or suspect.
 *
 * @param record - A record.
 * @returns Whether calls and messages may be sent to the node.
 * @internal
 */
export function isUsable(record: NodeRecord): boolean {
	return record.status === 'alive' || record.status === 'suspect';
}
