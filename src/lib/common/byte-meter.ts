/**
 * Counts the bytes that control traffic sends and receives.
 *
 * @module
 */
import {type Socket} from 'node:net';

/** @public */
export type ByteCounts = {readonly sent: number; readonly received: number};

/** @internal */
export type ByteMeter = {
	/** Counts all bytes of a TCP connection, in both directions. */
	readonly watchSocket: (socket: Socket) => void;
	/** Adds the bytes of a datagram. */
	readonly count: (counts: ByteCounts) => void;
	readonly getCounts: () => ByteCounts;
};

/**
 * Creates a byte meter.
 *
 * @returns The meter, with both counts at 0.
 * @internal
 */
export function createByteMeter(): ByteMeter {
	let closed: ByteCounts = {sent: 0, received: 0};
	const open = new Set<Socket>();

	const add = (total: ByteCounts, more: ByteCounts): ByteCounts => ({sent: total.sent + more.sent, received: total.received + more.received});
	const measure = (socket: Socket): ByteCounts => ({sent: socket.bytesWritten, received: socket.bytesRead});

	return {
		watchSocket(socket) {
			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
				closed = add(closed, measure(socket));
			});
		},
		count(counts) {
			closed = add(closed, counts);
		},
		getCounts() {
			let total = closed;
			for (const socket of open) {
				total = add(total, measure(socket));
			}

			return total;
		},
	};
}
