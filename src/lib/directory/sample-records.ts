/**
 * Node records for tests of every slice.
 *
 * @module
 */
import {toAddress, toFailureDomain, toNodeId} from '../common/ids.js';
import {type NodeRecord} from './node-record.js';

/**
 * @param id - The node's id.
 * @param changes - What is to differ from a plain record.
 * @returns An alive node's record.
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
