/**
 * The record with which a node begins to tell of itself.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type NodeRecord} from '../directory/node-record.js';
import {type Settings} from '../settings/settings.js';

/**
 * @param settings - The node's settings.
 * @returns Its first record.
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
		// Only tells this run from the one before; a clock that went back is mended when a peer shows the later epoch.
		epoch: readNow(),
		sequence: 1,
		status: 'alive',
		servers: [],
	};
}
