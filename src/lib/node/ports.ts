/**
 * Opens and closes a node's ports.
 *
 * @module
 */
import {type Server} from 'node:http';
import {parseAddress} from '../common/address.js';
import {type Address} from '../common/ids.js';
import {createStartError, type StartError} from './start-error.js';

/** A port to open: its name and address in the settings, and the function that listens on it. @internal */
export type Port = {
	readonly name: string;
	readonly address: Address;
	readonly listen: () => Promise<unknown>;
};

/**
 * Listens on an address.
 *
 * @param server - The HTTP server.
 * @param address - The address to listen on.
 * @returns Resolves when the server listens; rejects with the system error if it cannot.
 * @internal
 */
export async function listenOn(server: Server, address: Address): Promise<void> {
	const {host, port} = parseAddress(address);
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
}

/**
 * Closes a server and all its connections.
 *
 * @param server - The HTTP server, listening or not.
 * @returns Resolves when the server is closed.
 * @internal
 */
export async function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}

/**
 * Opens ports in order, up to the first that fails.
 *
 * @param ports - The ports.
 * @returns The error of the port that could not be opened, or `undefined` if all are open.
 * @internal
 */
export async function openPorts(ports: readonly Port[]): Promise<StartError | undefined> {
	for (const {name, address, listen} of ports) {
		try {
			await listen();
		} catch (error) {
			return createStartError(name, address, error);
		}
	}

	return undefined;
}
