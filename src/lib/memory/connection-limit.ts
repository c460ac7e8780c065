/**
 * Bounds the connections that a server has open, each of which takes a descriptor. A new
 * one takes the place of the one that has been idle for longest, so that clients which
 * connect and send nothing keep nobody out.
 *
 * @module
 */
import {type Server, type Socket} from 'node:net';

/** @internal */
export type ConnectionLimitOptions = {
	readonly maxOpen: number;
	/** Returns since when a connection has had no request in work, in milliseconds of any clock; `undefined` while it has one. */
	readonly getIdleSince: (socket: Socket) => number | undefined;
	/** Called with each connection that is closed to keep the bound. */
	readonly handleClosed: (socket: Socket) => void;
};

/** @internal */
export type ConnectionLimit = {
	readonly countOpen: () => number;
};

/**
 * Bounds the connections of a server from now on.
 *
 * @param server - The server.
 * @param options - The bound, and what is known of a connection.
 * @returns The connections.
 * @internal
 */
export function createConnectionLimit(server: Server, {maxOpen, getIdleSince, handleClosed}: ConnectionLimitOptions): ConnectionLimit {
	const open = new Set<Socket>();

	const findLongestIdle = (): Socket | undefined => {
		let longest: Socket | undefined;
		let since = Number.POSITIVE_INFINITY;
		for (const socket of open) {
			const idleSince = getIdleSince(socket);
			if (idleSince !== undefined && idleSince < since) {
				longest = socket;
				since = idleSince;
			}
		}

		return longest;
	};

	server.on('connection', (socket: Socket) => {
		if (open.size >= maxOpen) {
			// If all are busy, the new one is closed: what is in work goes first.
			const surplus = findLongestIdle() ?? socket;
			open.delete(surplus);
			handleClosed(surplus);
			surplus.destroy();
		}

		if (socket.destroyed) {
			return;
		}

		open.add(socket);
		socket.once('close', () => {
			open.delete(socket);
		});
	});

	return {countOpen: () => open.size};
}
