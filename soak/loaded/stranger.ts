/**
 * A backend server of another service at an address that a server had before it.
 *
 * @module
 */
import {createServer} from 'node:http';
import {platformHeaders} from '../../platform/platform-headers.js';

export type Stranger = {readonly close: () => Promise<void>};

/**
 * Starts a server that refuses all requests, since they are meant for another one.
 *
 * @param address - `IP:PORT` to listen on.
 * @returns The server.
 */
export async function startStranger(address: string): Promise<Stranger> {
	const [host, port] = address.split(':');
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(421, {
			'content-length': 0, [platformHeaders.callId]: String(request.headers[platformHeaders.callId] ?? ''), [platformHeaders.notRun]: '1',
		});
		response.end();
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	return {
		async close() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
