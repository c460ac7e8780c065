/**
 * A backend server whose answers are as long as their requests ask for: `/logs/BYTES` is answered with that many bytes,
 * and an upload with the number of its bytes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type TestContext} from 'node:test';
import {platformHeaders} from '../platform/platform-headers.js';

export type LongAnswerServer = {
	readonly id: string;
	readonly address: string;
	/** Returns the number of requests that it began to work on. */
	readonly countRuns: () => number;
};

async function countBodyBytes(request: IncomingMessage): Promise<number> {
	let bytes = 0;
	for await (const chunk of request) {
		bytes += (chunk as Uint8Array).length;
	}

	return bytes;
}

/**
 * Starts a server, which ends with the test.
 *
 * @param context - The test.
 * @param id - The id of the server.
 * @returns The server.
 */
export async function startLongAnswerServer(context: TestContext, id: string): Promise<LongAnswerServer> {
	let runs = 0;
	const longest = Buffer.alloc(64 * 1024 * 1024, 'x');
	const server = createServer({requestTimeout: 0, maxHeaderSize: 131_072}, (request, response) => {
		runs++;
		const answer = async (): Promise<void> => {
			const uploaded = await countBodyBytes(request);
			const body = request.method === 'POST' ? Buffer.from(String(uploaded)) : longest.subarray(0, Number(request.url?.split('/')[2] ?? 0));
			const callId = String(request.headers[platformHeaders.callId] ?? '');
			response.writeHead(200, {'content-length': body.length, [platformHeaders.callId]: callId, [platformHeaders.signature]: `sig.${callId}`});
			response.end(body);
		};

		void (async () => {
			try {
				await answer();
			} catch {
				// The request was broken off.
				response.destroy();
			}
		})();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	return {id, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, countRuns: () => runs};
}
