/**
 * Starts servers at addresses from the settings.
 *
 * @module
 */
import {type Server} from 'node:net';
import {parseAddress} from './address.js';
import {type Address} from './ids.js';

/** Longest queue of connections that wait to be accepted: if many callers reconnect at the same time, a shorter queue would overflow, and the others would retry only seconds later. */
const maximumBacklog = 4096;

/**
 * Starts a server.
 *
 * @param server - The server.
 * @param address - The address to listen at.
 * @returns A promise that resolves when the server listens, and rejects if it cannot.
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
