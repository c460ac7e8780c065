/**
 * Opens the connections and datagram sockets of a node. It is passed to the
 * node as a parameter, so that a test can partition the network.
 *
 * @module
 */
import {createSocket, type Socket as DatagramSocket} from 'node:dgram';
import {connect as connectSocket, isIPv6, type Socket} from 'node:net';
import {type HostAndPort} from './address.js';

/** @public */
export type Network = {
	readonly connect: (place: HostAndPort) => Socket;
	/** Creates the datagram socket of a node that listens on this host. */
	readonly createDatagramSocket: (host: string) => DatagramSocket;
};

/**
 * Creates the network of the operating system.
 *
 * @returns The network.
 * @public
 */
export function createSystemNetwork(): Network {
	return {
		connect: ({host, port}) => connectSocket({host, port, noDelay: true}),
		createDatagramSocket: host => createSocket(isIPv6(host) ? 'udp6' : 'udp4'),
	};
}

/** The function that the HTTP client calls to open a connection. */
type Connector = (
	options: {readonly hostname: string; readonly port: string},
	callback: (...parameters: [Error, null] | [null, Socket]) => void, // eslint-disable-line @typescript-eslint/no-restricted-types -- the HTTP client's own signature
) => void;

/** Reports that a connection was not established in time, so that nothing was sent. */
class ConnectTimeoutError extends Error {
	override readonly name = 'ConnectTimeoutError';

	get code(): string {
		return 'UND_ERR_CONNECT_TIMEOUT';
	}
}

/**
 * Creates a connector that lets the HTTP client open its connections through a network.
 *
 * @param network - The network.
 * @param timeoutMs - Connect timeout in milliseconds.
 * @returns The connector, for the options of the client.
 * @internal
 */
export function createConnector(network: Network, timeoutMs: number): Connector {
	return ({hostname, port}, callback) => {
		const socket = network.connect({host: hostname.replaceAll(/[[\]]/g, ''), port: Number(port)});
		const fail = (error: Error): void => {
			clearTimeout(timer);
			callback(error, null);
		};

		const timer = setTimeout(() => {
			socket.destroy(new ConnectTimeoutError('connect timeout'));
		}, timeoutMs);
		socket.once('error', fail);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', fail);
			callback(null, socket);
		});
	};
}
