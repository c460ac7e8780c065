/**
 * Listening at an address of the settings.
 *
 * @module
 */
import {type Server} from 'node:net';
import {parseAddress} from './address.js';
import {type Address} from './ids.js';

/** Connections that may wait to be accepted: a herd that comes back at once must not be told to try again seconds later. */
const maximumBacklog = 4096;

/**
 * @param server - The server.
 * @param address - Where it is to listen.
 * @returns A promise that is kept when it listens, and broken if it cannot.
 * @internal
 */
export async function listenAt(server: Server, address: Address): Promise<void> {
	const {host, port} = parseAddress(address);
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port, backlog: maximumBacklog}, () => {
			server.removeListener('error', reject);
			resolve();
		});
	});
}
