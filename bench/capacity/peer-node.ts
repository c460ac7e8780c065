/**
 * One node in a process of its own, for measuring what a message to it costs.
 *
 * @module
 */
import {settingsSchema, type Address} from '../../src/index.js';
import {startWorker, type CallWorker} from '../calls/call-fleet.js';

export type PeerNode = CallWorker & {readonly controlAddress: Address};

/** Starts a node that nobody else knows. */
export async function startPeerNode(): Promise<PeerNode> {
	const [callers, gate, control, gossip, operators, announcements] = [1, 2, 3, 4, 5, 6].map(port => `127.3.0.1:${7000 + port}`);
	const settings = settingsSchema.parse({
		node: 'peer',
		failureDomain: 'peer',
		listen: {
			callers, gate, control, gossip, operators, announcements,
		},
		store: {address: '127.0.0.1:9'},
	});
	const worker = await startWorker({type: 'node', settings});
	return {...worker, controlAddress: settings.listen.control};
}
