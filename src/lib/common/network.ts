/**
 * How a node reaches other nodes. It is handed in, so that a test can cut
 * nodes off from one another.
 *
 * @module
 */
import {createSocket, type Socket as DatagramSocket} from 'node:dgram';
import {connect as connectSocket, isIPv6, type Socket} from 'node:net';
import {type HostAndPort} from './address.js';

/** @public */
export type Network = {
	readonly connect: (place: HostAndPort) => Socket;
	/** Creates the socket for datagrams of a node that listens on this host. */
	readonly createDatagramSocket: (host: string) => DatagramSocket;
};

/**
 * @returns The network of the operating system.
 * @public
 */
export function createSystemNetwork(): Network {
	return {
		connect: ({host, port}) => connectSocket({host, port, noDelay: true}),
		createDatagramSocket: host => createSocket(isIPv6(host) ? 'udp6' : 'udp4'),
	};
}

/** What the HTTP client calls to open a connection. */
type Connector = (
	options: {readonly hostname: string; readonly port: string},
	callback: (...parameters: [Error, null] | [null, Socket]) => void, // eslint-disable-line @typescript-eslint/no-restricted-types -- the HTTP client's own signature
) => void;

/** An error of a connection that was never made: nothing was sent. */
class ConnectTimeoutError extends Error {
	override readonly name = 'ConnectTimeoutError';

	get code(): string {
		return 'UND_ERR_CONNECT_TIMEOUT';
	}
}

/**
 * Lets the HTTP client open its connections through a network.
 *
 * @param network - The network.
 * @param timeoutMs - Milliseconds until a connection that is not made has failed.
 * @returns The function that the client takes.
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
			socket.destroy(new ConnectTimeoutError('no connection in time'));
		}, timeoutMs);
		socket.once('error', fail);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', fail);
			callback(null, socket);
		});
	};
}
