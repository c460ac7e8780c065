/**
 * A network between in-process nodes in which tests create partitions.
 *
 * @module
 */
import {type Socket} from 'node:net';
import {createSystemNetwork, type Network} from '../src/index.js';

export type PartitionableNetwork = {
	/** The network as one host sees it. */
	readonly createView: (host: string) => Network;
	/** Blocks all traffic between two groups of hosts and closes the open connections between them. */
	readonly partition: (left: readonly string[], right: readonly string[]) => void;
	readonly isPartitioned: (from: string, to: string) => boolean;
	/** Removes all partitions. */
	readonly heal: () => void;
};

type Connection = {readonly from: string; readonly to: string; readonly socket: Socket};

export function createPartitionableNetwork(): PartitionableNetwork {
	const system = createSystemNetwork();
	const blockedPairs = new Set<string>();
	const connections = new Set<Connection>();
	const isPartitioned = (from: string, to: string): boolean => blockedPairs.has(`${from} ${to}`);

	return {
		isPartitioned,
		createView: from => ({
			connect(place) {
				// No process listens on port 1, so a connection across the partition is refused.
				const socket = system.connect(isPartitioned(from, place.host) ? {...place, port: 1} : place);
				const connection = {from, to: place.host, socket};
				connections.add(connection);
				socket.once('close', () => {
					connections.delete(connection);
				});
				return socket;
			},
			createDatagramSocket(host) {
				const socket = system.createDatagramSocket(host);
				const send = socket.send.bind(socket) as (bytes: Uint8Array, port: number, to: string, done: () => void) => void;
				const sendUnlessPartitioned = (bytes: Uint8Array, port: number, to: string, done: () => void): void => {
					if (!isPartitioned(from, to)) {
						send(bytes, port, to, done);
					}
				};

				return Object.assign(socket, {send: sendUnlessPartitioned});
			},
		}),
		partition(left, right) {
			for (const one of left) {
				for (const other of right) {
					blockedPairs.add(`${one} ${other}`);
					blockedPairs.add(`${other} ${one}`);
				}
			}

			for (const {from, to, socket} of connections) {
				if (isPartitioned(from, to)) {
					socket.destroy(new Error('connection closed by a network partition'));
				}
			}
		},
		heal() {
			blockedPairs.clear();
		},
	};
}
