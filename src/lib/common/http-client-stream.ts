/**
 * A connection as the HTTP client (undici) sees it. On a plain socket, the HTTP client throws an exception that nobody
 * can catch if the connection ends while its parser has paused because the reader of the response is slow: the process
 * ends. A response that was received whole before the connection ended is lost then, too.
 *
 * @module
 */
import process from 'node:process';
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';

/** @internal */
export type HttpClientStream = {
	/** What the HTTP client reads from and writes to. */
	readonly stream: Duplex;
	/** Lets the HTTP client read these bytes. */
	readonly forward: (bytes: Uint8Array) => void;
};

/** What else happens on a connection; by default all bytes are passed on. @internal */
export type HttpClientStreamHandlers = {
	/** Called with all bytes that are received. An error that it throws ends the connection. */
	readonly handleBytes?: (bytes: Uint8Array) => void;
	/** Called before bytes are sent. */
	readonly handleWrite?: () => void;
	/** Called when the connection ends before all of it was read, or is given up. */
	readonly handleDestroy?: () => void;
};

/** A connection was lost. Its code is the HTTP client's own: with `ECONNRESET`, the HTTP client would take the end of the connection for the end of the response, and throw if its parser has paused. */
class ConnectionLostError extends Error {
	override readonly name = 'ConnectionLostError';

	get code(): string {
		return 'UND_ERR_SOCKET';
	}
}

function toClientError(error: Error): Error {
	return (error as NodeJS.ErrnoException).code === 'ECONNRESET' ? new ConnectionLostError(error.message, {cause: error}) : error;
}

/**
 * Creates the stream of a connection that has carried no request.
 *
 * @param socket - The connection.
 * @param handlers - What is done besides passing on bytes.
 * @returns The stream.
 * @internal
 */
export function createHttpClientStream(socket: Socket, handlers: HttpClientStreamHandlers = {}): HttpClientStream {
	const {handleWrite, handleDestroy} = handlers;
	let isEnded = false;

	const stream = new Duplex({
		decodeStrings: false,
		read() {
			socket.resume();
		},
		write(chunk: Uint8Array | string, encoding, callback) {
			handleWrite?.();
			socket.write(chunk, encoding, callback);
		},
		// Without it, the head and the body of a request would be sent one after the other.
		writev(chunks, callback) {
			handleWrite?.();
			socket.cork();
			for (const [index, {chunk, encoding}] of chunks.entries()) {
				socket.write(chunk as Uint8Array | string, encoding, index === chunks.length - 1 ? callback : undefined);
			}

			socket.uncork();
		},
		final(callback) {
			socket.end(callback);
		},
		destroy(error, callback) {
			handleDestroy?.();
			socket.destroy();
			callback(error === null ? error : toClientError(error));
		},
	});
	// An idle connection must not keep the process alive.
	Object.assign(stream, {ref: socket.ref.bind(socket), unref: socket.unref.bind(socket)});

	const forward = (bytes: Uint8Array): void => {
		if (!stream.push(bytes)) {
			socket.pause();
		}
	};

	const {handleBytes = forward} = handlers;
	socket.on('data', (bytes: Uint8Array) => {
		try {
			handleBytes(bytes);
		} catch (error) {
			stream.destroy(error as Error);
		}
	});

	const endIfRead = (): void => {
		if (stream.readableLength === 0) {
			stream.push(null);
		}
	};

	socket.once('end', () => {
		isEnded = true;
		// The HTTP client may pause at the last bytes. If the stream ended as they are read, it would end before the HTTP client has gone on.
		stream.on('data', () => {
			process.nextTick(endIfRead);
		});
		endIfRead();
	});
	socket.on('error', error => {
		stream.destroy(error);
	});
	socket.once('close', () => {
		// What was received before an orderly end can still be read.
		if (!isEnded) {
			stream.destroy(new ConnectionLostError('the connection has closed'));
		}
	});
	return {stream, forward};
}
