/**
 * Creates and caches clients for the control ports of other nodes.
 *
 * @module
 */
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {parseAddress} from '../common/address.js';
import {type ByteMeter} from '../common/byte-meter.js';
import {type Address} from '../common/ids.js';
import {type Network} from '../common/network.js';
import {NodeControl} from '../generated/stonemoor/v1/node_pb.js';

/** @internal */
export type PeerClient = Client<typeof NodeControl>;

/** @internal */
export type Peers = {
	readonly getClient: (address: Address) => PeerClient;
	readonly dispose: () => void;
};

/** Idle timeout of a connection to another node. */
const idleTimeoutMs = 15_000;

/** Timeout of a call to another node. */
export const peerTimeoutMs = 4000;

type Peer = {readonly client: PeerClient; readonly manager: Http2SessionManager};

/** Maximum number of cached clients. When there are more, the client that was created first is evicted. */
const maximumPeerCount = 64;

/**
 * Creates the client cache of a node. A client connects at its first call.
 *
 * @param meter - Counts the bytes sent and received.
 * @param network - Opens the connections to other nodes.
 * @returns The client cache.
 * @internal
 */
export function createPeers(meter: ByteMeter, network: Network): Peers {
	const peers = new Map<Address, Peer>();

	const createPeer = (address: Address): Peer => {
		const {host, port} = parseAddress(address);
		const nodeOptions = {
			createConnection() {
				const socket = network.connect({host, port});
				meter.watchSocket(socket);
				return socket;
			},
		};
		const manager = new Http2SessionManager(`http://${address}`, {idleConnectionTimeoutMs: idleTimeoutMs}, nodeOptions);
		const transport = createConnectTransport({baseUrl: `http://${address}`, httpVersion: '2', sessionManager: manager});
		return {client: createClient(NodeControl, transport), manager};
	};

	return {
		getClient(address) {
			const known = peers.get(address);
			if (known !== undefined) {
				return known.client;
			}

			const peer = createPeer(address);
			peers.set(address, peer);
			if (peers.size > maximumPeerCount) {
				const oldest = [...peers.keys()][0];
				if (oldest !== undefined) {
					// The connection closes by its idle timeout, so calls in flight are not interrupted.
					peers.delete(oldest);
				}
			}

			return peer.client;
		},
		dispose() {
			for (const {manager} of peers.values()) {
				manager.abort();
			}

			peers.clear();
		},
	};
}
