/**
 * Bounds what the servers hold whose clients are programs of operators and the backend
 * server: their requests are handled one after the other on each connection.
 *
 * @module
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {createRequestWindow, type RequestWindow, type RequestWindowOptions} from './request-window.js';

type Listener = (request: IncomingMessage, response: ServerResponse) => void;

/** Bytes that are counted for an answer of these servers until it is sent. */
const answerBytes = 65_536;

/**
 * Makes a server handle the requests of each connection in turn, within bounds.
 *
 * @param server - The server, with the listener of its requests.
 * @param options - The bounds.
 * @returns The window of the server.
 * @internal
 */
export function handleInTurn(server: Server, options: RequestWindowOptions): RequestWindow {
	const window = createRequestWindow(server, options);
	const listeners = server.listeners('request') as Listener[];
	server.removeAllListeners('request');
	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		const turn = window.take(request, response);
		const handle = (): void => {
			window.addBytes(turn, answerBytes);
			for (const listener of listeners) {
				listener(request, response);
			}
		};

		if (turn.wait === undefined) {
			handle();
			return;
		}

		void (async () => {
			if (await turn.wait) {
				handle();
			}
		})();
	});
	return window;
}
