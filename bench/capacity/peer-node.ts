/**
 * One node in this process, for measuring what a message to it costs.
 *
 * @module
 */
import {createNode, settingsSchema, type Address} from '../../src/index.js';
import {createMemoryStore} from '../../stand-ins/store/memory-store.js';

export type PeerNode = {
	readonly controlAddress: Address;
	readonly dispose: () => Promise<void>;
};

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
	const node = createNode(settings, {store: createMemoryStore(), random: Math.random});
	await node.start();
	return {controlAddress: settings.listen.control, dispose: node.dispose};
}
