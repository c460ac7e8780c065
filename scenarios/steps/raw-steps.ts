/**
 * Steps that send hand-written HTTP requests, which HTTP clients would not send.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {defineStep, type ScenarioState} from './define-step.js';

async function sendRawRequest(state: ScenarioState, node: string, text: string): Promise<void> {
	const {host} = state.world.getNode(node);
	const socket = connect({host, port: 7001});
	let reply = '';
	socket.on('data', (chunk: Uint8Array) => {
		reply += Buffer.from(chunk).toString();
	});
	socket.on('error', () => undefined);
	socket.write(text);
	await new Promise(resolve => {
		socket.once('close', resolve);
		setTimeout(resolve, 1000);
	});
	socket.destroy();
	state.rawStatus = Number(/^HTTP\/1\.1 (\d+)/.exec(reply)?.[1] ?? 0);
}

defineStep('a caller sends a request with two Content-Length headers to {word}', async (state, node: string) => {
	await sendRawRequest(state, node, 'POST /releases/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde');
});

defineStep('a caller sends a request with Content-Length and Transfer-Encoding to {word}', async (state, node: string) => {
	await sendRawRequest(state, node, 'POST /releases/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n');
});

defineStep('a caller sends {int} KB of headers to {word}', async (state, kilobytes: number, node: string) => {
	await sendRawRequest(state, node, `GET /logs/x HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(kilobytes * 1024)}\r\n\r\n`);
});

defineStep('a caller sends {word} the headers of an upload of {int} MB with Expect: 100-continue', async (state, node: string, megabytes: number) => {
	const length = megabytes * 1024 * 1024;
	await sendRawRequest(state, node, `POST /releases/u HTTP/1.1\r\nHost: a\r\nIdempotency-Key: ${node}-${state.rawStatus}\r\nContent-Length: ${length}\r\nExpect: 100-continue\r\n\r\n`);
});
