/**
 * The first record that a node publishes of itself.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type NodeRecord} from '../directory/node-record.js';
import {type Settings} from '../settings/settings.js';

/**
 * Creates the first record of a node.
 *
 * @param settings - The settings of the node.
 * @returns The record.
 * @internal
 */
export function createOwnRecord(settings: Settings): NodeRecord {
	const {node, failureDomain, listen} = settings;
	return {
		id: node,
		failureDomain,
		gateAddress: listen.gate,
		controlAddress: listen.control,
		gossipAddress: listen.gossip,
		operatorAddress: listen.operators,
		// The epoch only distinguishes this run from earlier ones. If the clock was set back, the node raises its epoch when a peer sends a record with a later one.
		epoch: readNow(),
		sequence: 1,
		status: 'alive',
		servers: [],
	};
}
