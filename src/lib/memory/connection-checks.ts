/**
 * What a request window checks of its connections from time to time, since no event tells it.
 *
 * @module
 */
import {type WindowConnection} from './window-connection.js';

/** Nothing of a body is counted as a head: Node.js ends longer heads. */
const maxHeadBytes = 65_536;

/**
 * Counts what has arrived of a head that has not ended.
 *
 * @param connection - The connection.
 * @internal
 */
export function countUnfinishedHead(connection: WindowConnection): void {
	const {socket, account, open} = connection;
	// While a request is in work, its body may arrive, which is counted elsewhere.
	const bytes = open.length > 0 ? 0 : Math.min(maxHeadBytes, socket.bytesRead - connection.readBytes);
	if (bytes !== connection.unfinishedBytes) {
		const before = connection.unfinishedBytes;
		connection.unfinishedBytes = bytes;
		account.release('buffers', before);
		account.add('buffers', bytes);
	}
}

/**
 * Measures for how long a client has read nothing of what waits for it.
 *
 * @param connection - The connection.
 * @param now - The current time in milliseconds of the steady clock.
 * @returns The time in milliseconds; 0 if nothing waits or some of it was read since the last call.
 * @internal
 */
export function measureUnreadMs(connection: WindowConnection, now: number): number {
	const {socket} = connection;
	if (socket.writableLength === 0 || socket.bytesWritten !== connection.writtenBytes) {
		connection.writtenBytes = socket.bytesWritten;
		connection.progressAt = now;
		return 0;
	}

	return now - connection.progressAt;
}
