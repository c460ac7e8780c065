/**
 * A caller that writes bytes to one connection and records what comes back, for
 * tests of pipelining. HTTP clients send no request before they have the response
 * to the one before it.
 *
 * @module
 */
import {connect} from 'node:net';
import {type TestContext} from 'node:test';

/** A response, as it was received. */
export type RawResponse = {
	readonly status: number;
	/** Head and body, with headers in lower case. */
	readonly text: string;
	/** Whether it says that its connection closes. */
	readonly isClosing: boolean;
};

export type RawCaller = {
	readonly send: (text: string) => void;
	readonly listResponses: () => readonly RawResponse[];
	/** Returns whether the connection has ended. */
	readonly hasEnded: () => boolean;
};

/**
 * Opens a connection, which is closed after the test.
 *
 * @param context - The test.
 * @param address - `HOST:PORT` of the server.
 * @returns The caller.
 */
export function openRawCaller(context: TestContext, address: string): RawCaller {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port)});
	let received = '';
	let isEnded = false;
	socket.setEncoding('latin1');
	socket.on('data', (text: string) => {
		received += text;
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		isEnded = true;
	});
	context.after(() => {
		socket.destroy();
	});
	return {
		send(text) {
			socket.write(text);
		},
		listResponses: () => received.split(/(?=HTTP\/1\.1 \d)/).filter(text => text !== '').map(text => ({
			status: Number(text.split(' ')[1]), text: text.toLowerCase(), isClosing: /connection: close/i.test(text),
		})),
		hasEnded: () => isEnded,
	};
}
