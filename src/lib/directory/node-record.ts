/**
 * What a node tells the mesh of itself and of the backend server beside it.
 *
 * @module
 */
import {
	type Address, type BackendServerId, type FailureDomain, type NodeId,
} from '../common/ids.js';

/** A backend server as its node announces it. @public */
export type BackendServer = {
	readonly id: BackendServerId;
	readonly service: string;
	readonly address: Address;
	/** Requests that it works on at once. */
	readonly slots: number;
	/** Connections that it takes at once. */
	readonly connections: number;
	/** Milliseconds since the epoch by its node's clock; used for the slow start only. */
	readonly startedAt: number;
	readonly isDraining: boolean;
};

/** @public */
export type NodeStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** @public */
export const nodeStatuses: readonly NodeStatus[] = ['alive', 'suspect', 'dead', 'left'];

/** One node. Only the node itself raises its epoch and sequence; others may only worsen its status. @public */
export type NodeRecord = {
	readonly id: NodeId;
	readonly failureDomain: FailureDomain;
	/** Where other nodes send calls. */
	readonly gateAddress: Address;
	/** Where other nodes send configuration and directory messages. */
	readonly controlAddress: Address;
	/** Where heartbeats go (UDP). */
	readonly gossipAddress: Address;
	readonly operatorAddress: Address;
	/** Tells one run of the node from the next; larger wins. */
	readonly epoch: number;
	/** Tells one state of a run from the next; larger wins. */
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
 * @param record - A record.
 * @returns The text that stands for it in digests: equal exactly when neither of two records is newer.
 * @internal
 */
export function formatRecordFingerprint(record: NodeRecord): string {
	return `${record.epoch}.${record.sequence}.${record.status}`;
}

/**
 * @param record - A record.
 * @returns Whether calls and messages may be sent to the node.
 * @internal
 */
export function isUsable(record: NodeRecord): boolean {
	return record.status === 'alive' || record.status === 'suspect';
}
