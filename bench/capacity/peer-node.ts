/**
 * Starts nodes in separate processes, to measure the cost of messages to them.
 *
 * @module
 */
import {settingsSchema, type Address} from '../../src/index.js';
import {startCallWorker, type CallWorker} from '../calls/call-fleet.js';
import {createListenAddresses} from '../../stand-ins/loopback-addresses.js';

export type PeerNode = CallWorker & {readonly controlAddress: Address};

async function startPeerNode(index: number): Promise<PeerNode> {
	const settings = settingsSchema.parse({
		node: `peer-${index}`,
		failureDomain: 'peer',
		listen: createListenAddresses(`127.3.0.${index + 1}`),
		store: {address: '127.0.0.1:9'},
	});
	const worker = await startCallWorker({type: 'node', settings});
	return {...worker, controlAddress: settings.listen.control};
}

/** Starts nodes that do not know each other. */
export async function startPeerNodes(count: number): Promise<readonly PeerNode[]> {
	return Promise.all(Array.from({length: count}, async (_, index) => startPeerNode(index)));
}
