/**
 * Ends the calls of a connection when it closes: whoever asked has gone, so
 * nobody waits for the answer. Tells on how many connections answers have not left yet.
 *
 * @module
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type CallScope} from './call-scope.js';

/** @internal */
export type ConnectionScopes = {
	/** Adds a call to its connection; yields a function that takes it off. */
	readonly add: (socket: Socket, scope: CallScope) => () => void;
	/** Connections on which bytes of answers wait for their callers to read. */
	readonly countUnsent: () => number;
	/** Closes connections that carry no call and no bytes of an answer. */
	readonly closeIdle: () => void;
};

/**
 * @param sockets - Connections.
 * @returns How many of them have bytes that the system has not taken yet, since the other end does not read as fast.
 * @internal
 */
export function countUnsent(sockets: Iterable<Socket>): number {
	let count = 0;
	for (const {writableLength} of sockets) {
		count += writableLength > 0 ? 1 : 0;
	}

	return count;
}

/**
 * @param server - A server whose connections are watched from now on.
 * @returns Where calls are added.
 * @internal
 */
export function watchConnections(server: Server): ConnectionScopes {
	const scopes = new Map<Socket, Set<CallScope>>();
	server.on('connection', (socket: Socket) => {
		const calls = new Set<CallScope>();
		scopes.set(socket, calls);
		const cancelCalls = (): void => {
			for (const scope of calls) {
				scope.end('cancelled');
			}

			calls.clear();
		};

		// A caller that has closed its half does not wait for an answer any more, although bytes could still be sent.
		socket.once('end', cancelCalls);
		socket.once('close', () => {
			scopes.delete(socket);
			cancelCalls();
		});
	});

	return {
		add(socket, scope) {
			const calls = scopes.get(socket);
			if (calls === undefined || socket.destroyed) {
				scope.end('cancelled');
				return () => undefined;
			}

			calls.add(scope);
			return () => {
				calls.delete(scope);
			};
		},
		countUnsent: () => countUnsent(scopes.keys()),
		closeIdle() {
			for (const [socket, calls] of scopes) {
				if (calls.size === 0 && socket.writableLength === 0) {
					socket.destroy();
				}
			}
		},
	};
}
