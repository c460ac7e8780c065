/**
 * Opens and closes a node's ports.
 *
 * @module
 */
import {type Server} from 'node:http';
import {parseAddress} from '../common/address.js';
import {type Address} from '../common/ids.js';
import {createStartError, type StartError} from './start-error.js';

/** One of the settings' addresses, and how it is listened on. @internal */
export type Port = {
	readonly name: string;
	readonly address: Address;
	readonly listen: () => Promise<unknown>;
};

/**
 * @param server - An HTTP server.
 * @param address - Where it listens.
 * @returns Once it listens; an error of the system if it cannot.
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
 * Closes a server and cuts its connections.
 *
 * @param server - An HTTP server, listening or not.
 * @returns Once it is closed.
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
 * Opens ports one after another.
 *
 * @param ports - The ports.
 * @returns The first one that could not be opened, or `undefined`.
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
