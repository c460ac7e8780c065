/**
 * Stands in for a backend server of the platform: answers requests with the
 * platform's headers, counts what it ran, and misbehaves when told to.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** How it treats a request. */
export type WireBehaviour =
	| 'answer'
	/** Runs it and closes the connection without an answer. */
	| 'lose'
	/** Promises more bytes than it sends. */
	| 'truncate'
	/** Answers with another request's id. */
	| 'foreign'
	/** Sends a second answer behind the first. */
	| 'extra'
	/** Gives neither length nor chunks, and ends with its connection. */
	| 'unframed'
	/** As before, but the connection is reset. */
	| 'unframed-reset'
	/** As before, and the reset follows the bytes at once. */
	| 'unframed-cut'
	/** Says that it did not run it. */
	| 'shed'
	/** Fails, having run it. */
	| 'fail'
	/** Succeeds without a signature. */
	| 'unsigned'
	/** Sends what is no answer. */
	| 'garbage'
	/** Answers before it has read the body. */
	| 'early'
	/** Runs it and never answers. */
	| 'hang';

/** What it ran. */
export type WireRun = {
	/** Unix milliseconds. */
	readonly at: number;
	/** How it was treated. */
	readonly behaviour: WireBehaviour;
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly callerService: string;
	readonly leftMs: number;
	readonly body: string;
};

export type WireServer = {
	readonly id: string;
	readonly address: string;
	readonly runs: readonly WireRun[];
	/** Requests whose connection closed before they were answered. */
	readonly countLeft: () => number;
	/** The next requests are treated so, then all are answered. */
	readonly plan: (...behaviours: readonly WireBehaviour[]) => void;
	readonly setWorkMs: (milliseconds: number) => void;
	/** Requests at work at once from here on; it sheds those beyond. */
	readonly setSlots: (slots: number) => void;
	/** Requests at work. */
	readonly countAtWork: () => number;
	/** Requests for these targets crash the server as they run, unless it treats them otherwise: all its connections are cut, and nobody listens any more. */
	readonly crashAt: (isFatal: (target: string) => boolean, handleCrash: (run: WireRun) => void) => void;
	/** From here on another server has the address. */
	readonly rename: (id: string) => void;
	readonly close: () => Promise<void>;
};

const createSignature = (id: string, body: string): string => `sig.${id}.${body.length}`;

async function readText(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString();
}

const getText = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? '');

/**
 * Starts a server on the loopback address.
 *
 * @param firstId - Its id.
 * @param port - Where it listens; 0 for any port that is free.
 * @param host - The loopback IP number that it listens at.
 * @returns The server.
 */
export async function startWireServer(firstId: string, port = 0, host = '127.0.0.1'): Promise<WireServer> {
	let id = firstId;
	let workMs = 5;
	let left = 0;
	let slots = Infinity;
	let atWork = 0;
	const planned: WireBehaviour[] = [];
	const runs: WireRun[] = [];
	let isFatal = (_target: string): boolean => false;
	let handleCrash = (_run: WireRun): void => undefined;

	const send = (response: ServerResponse, request: IncomingMessage, status: number, body: string): void => {
		const call = getText(request, 'stonemoor-attempt-id');
		response.writeHead(status, {
			'content-length': Buffer.byteLength(body), 'stonemoor-attempt-id': call, 'stonemoor-response-signature': createSignature(call, body),
		});
		response.end(body);
	};

	const misbehave = (behaviour: WireBehaviour, request: IncomingMessage, response: ServerResponse, body: string): void => {
		const {socket} = request;
		const call = getText(request, 'stonemoor-attempt-id');
		const head = `HTTP/1.1 200 OK\r\nStonemoor-Attempt-Id: ${call}\r\nStonemoor-Response-Signature: ${createSignature(call, body)}\r\n`;
		switch (behaviour) {
			case 'answer':
			case 'early': {
				send(response, request, 200, body);
				break;
			}

			case 'lose': {
				socket.destroy();
				break;
			}

			case 'truncate': {
				socket.end(`${head}Content-Length: ${body.length + 10}\r\n\r\n${body}`);
				break;
			}

			case 'foreign': {
				socket.write('HTTP/1.1 200 OK\r\nStonemoor-Attempt-Id: other\r\nStonemoor-Response-Signature: x\r\nContent-Length: 5\r\n\r\nother');
				break;
			}

			case 'extra': {
				socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
				setTimeout(() => {
					socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
				}, 5);
				break;
			}

			case 'unframed': {
				socket.end(`${head}\r\n${body}`);
				break;
			}

			case 'unframed-reset': {
				socket.write(`${head}\r\n${body}`, () => {
					setTimeout(() => {
						socket.resetAndDestroy();
					}, 20);
				});
				break;
			}

			case 'unframed-cut': {
				socket.write(`${head}\r\n${body.slice(0, 3)}`);
				socket.resetAndDestroy();
				break;
			}

			case 'shed': {
				response.writeHead(503, {'content-length': 0, 'stonemoor-attempt-id': call, 'stonemoor-not-executed': '1'});
				response.end();
				break;
			}

			case 'fail': {
				send(response, request, 500, 'failed');
				break;
			}

			case 'unsigned': {
				response.writeHead(200, {'content-length': Buffer.byteLength(body), 'stonemoor-attempt-id': call});
				response.end(body);
				break;
			}

			case 'garbage': {
				socket.end('what is this?\r\n\r\n');
				break;
			}

			case 'hang': {
				break;
			}
		}
	};

	const noteRun = (request: IncomingMessage, body: string, behaviour: WireBehaviour): void => {
		runs.push({
			at: Date.now(),
			behaviour,
			id: getText(request, 'stonemoor-attempt-id'),
			method: request.method ?? '',
			target: request.url ?? '',
			callerService: getText(request, 'stonemoor-caller-service'),
			leftMs: Number(getText(request, 'stonemoor-deadline-ms')),
			body,
		});
	};

	const endByCrash = (run: WireRun): void => {
		if (!server.listening) {
			return;
		}

		server.close();
		server.closeAllConnections();
		handleCrash(run);
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const behaviour = atWork < slots ? planned.shift() ?? 'answer' : 'shed';
		const expected = request.headers['stonemoor-expected-instance'];
		if (expected !== undefined && expected !== id) {
			request.resume();
			response.writeHead(421, {'content-length': 0, 'stonemoor-instance-id': id, 'stonemoor-attempt-id': getText(request, 'stonemoor-attempt-id')});
			response.end();
			return;
		}

		if (behaviour === 'early') {
			noteRun(request, '', behaviour);
			misbehave(behaviour, request, response, `page ${request.url}`);
			request.resume();
			return;
		}

		const body = await readText(request);
		if (behaviour !== 'shed') {
			noteRun(request, body, behaviour);
		}

		if (behaviour === 'answer' && isFatal(request.url ?? '')) {
			const run = runs.at(-1)!;
			setTimeout(() => {
				endByCrash(run);
			}, workMs);
			return;
		}

		let isGone = false;
		atWork++;
		response.once('close', () => {
			isGone = true;
			atWork--;
			left += response.writableEnded || behaviour !== 'answer' ? 0 : 1;
		});
		setTimeout(() => {
			if (!isGone) {
				misbehave(behaviour, request, response, `page ${request.url} ${body}`);
			}
		}, workMs);
	};

	const handleSafely = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handle(request, response);
		} catch {
			// A connection that closes within the body ends the request; there is nobody left to answer.
			left++;
		}
	};

	const server = createServer((request, response) => {
		void handleSafely(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(port, host, resolve);
	});
	return {
		id: firstId,
		address: `${host}:${(server.address() as AddressInfo).port}`,
		runs,
		countLeft: () => left,
		plan(...behaviours) {
			planned.push(...behaviours);
		},
		setWorkMs(milliseconds) {
			workMs = milliseconds;
		},
		setSlots(next) {
			slots = next;
		},
		countAtWork: () => atWork,
		crashAt(isFatalTarget, handleEnd) {
			isFatal = isFatalTarget;
			handleCrash = handleEnd;
		},
		rename(next) {
			id = next;
		},
		async close() {
			server.closeAllConnections();
			if (!server.listening) {
				return;
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
