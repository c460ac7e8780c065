/**
 * Ends the calls of a connection when it closes: whoever asked has gone, so
 * nobody waits for the answer.
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
};

/**
 * @param server - A server whose connections are watched from now on.
 * @returns Where calls are added.
 * @internal
 */
export function watchConnections(server: Server): ConnectionScopes {
	const scopes = new WeakMap<Socket, Set<CallScope>>();
	server.on('connection', (socket: Socket) => {
		const calls = new Set<CallScope>();
		scopes.set(socket, calls);
		const endAll = (): void => {
			for (const scope of calls) {
				scope.end('cancelled');
			}

			calls.clear();
		};

		// A caller that has closed its half does not wait for an answer any more, although bytes could still be sent.
		socket.once('end', endAll);
		socket.once('close', endAll);
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
	};
}
