/**
 * Cancels the calls of a connection when it closes, because their caller no longer
 * waits for the responses.
 *
 * @module
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {stopScopesAt, type CallScope} from './call-scope.js';

/** @internal */
export type ConnectionScopes = {
	/** Adds a call to its connection. Returns a function that removes it. */
	readonly add: (socket: Socket, scope: CallScope) => () => void;
	/** Returns when this node must have answered its calls, in milliseconds of the steady clock; infinity unless it shuts down. */
	readonly getStopTime: () => number;
	/** Makes the calls in flight end at a time by which this node must have answered. Calls that are created later must end by `getStopTime`. In milliseconds of the steady clock. */
	readonly stopAt: (time: number) => void;
};

/**
 * Tracks the calls of each connection that a server accepts from now on.
 *
 * @param server - The server.
 * @returns The calls by connection.
 * @internal
 */
export function watchConnections(server: Server): ConnectionScopes {
	const scopes = new Map<Socket, Set<CallScope>>();
	let stopTime = Number.POSITIVE_INFINITY;
	server.on('connection', (socket: Socket) => {
		const calls = new Set<CallScope>();
		scopes.set(socket, calls);
		const cancelCalls = (): void => {
			for (const scope of calls) {
				scope.end('cancelled');
			}

			calls.clear();
		};

		// A caller that half-closes the connection no longer waits for a response, although it could still receive one.
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
		getStopTime: () => stopTime,
		stopAt(time) {
			stopTime = time;
			for (const calls of scopes.values()) {
				stopScopesAt(calls, time);
			}
		},
	};
}
