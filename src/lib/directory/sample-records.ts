/**
 * Node records for tests.
 *
 * @module
 */
import {toAddress, toFailureDomain, toNodeId} from '../common/ids.js';
import {type NodeRecord} from './node-record.js';

/**
 * Creates the record of an alive node.
 *
 * @param id - The ID of the node.
 * @param changes - Fields that differ from the defaults.
 * @returns The record.
 * @internal
 */
export function createRecord(id: string, changes: Partial<NodeRecord> = {}): NodeRecord {
	const address = toAddress('127.0.0.1:1');
	return {
		id: toNodeId(id),
		failureDomain: toFailureDomain('d'),
		gateAddress: address,
		controlAddress: address,
		gossipAddress: address,
		operatorAddress: address,
		epoch: 1,
		sequence: 1,
		status: 'alive',
		servers: [],
		...changes,
	};
}
