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
export type PlatformServerBehaviour =
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
export type PlatformServerRun = {
	/** Unix milliseconds. */
	readonly at: number;
	/** How it was treated. */
	readonly behaviour: PlatformServerBehaviour;
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly callerService: string;
	readonly leftMs: number;
	readonly body: string;
};

export type PlatformServer = {
	readonly id: string;
	readonly address: string;
	readonly runs: readonly PlatformServerRun[];
	/** Requests whose connection closed before they were answered. */
	readonly countDisconnected: () => number;
	/** The next requests are treated so, then all are answered. */
	readonly planBehaviours: (...behaviours: readonly PlatformServerBehaviour[]) => void;
	readonly setWorkMs: (milliseconds: number) => void;
	/** Requests at work at once from here on; it sheds those beyond. */
	readonly setSlots: (slots: number) => void;
	/** Requests at work. */
	readonly countInFlight: () => number;
	/** Requests for these targets crash the server as they run, unless it treats them otherwise: all its connections are cut, and nobody listens any more. */
	readonly crashOn: (isFatal: (target: string) => boolean, handleCrash: (run: PlatformServerRun) => void) => void;
	/** From here on another server has the address. */
	readonly changeId: (id: string) => void;
	readonly close: () => Promise<void>;
};

const createSignature = (id: string, body: string): string => `sig.${id}.${body.length}`;

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString();
}

const getHeader = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? '');

/**
 * Starts a server on the loopback address.
 *
 * @param firstId - Its id.
 * @param port - Where it listens; 0 for any port that is free.
 * @param host - The loopback IP number that it listens at.
 * @returns The server.
 */
export async function startPlatformServer(firstId: string, port = 0, host = '127.0.0.1'): Promise<PlatformServer> {
	let id = firstId;
	let workMs = 5;
	let disconnected = 0;
	let slots = Infinity;
	let inFlight = 0;
	const planned: PlatformServerBehaviour[] = [];
	const runs: PlatformServerRun[] = [];
	let isFatal = (_target: string): boolean => false;
	let handleCrash = (_run: PlatformServerRun): void => undefined;

	const sendResponse = (response: ServerResponse, request: IncomingMessage, status: number, body: string): void => {
		const call = getHeader(request, 'stonemoor-attempt-id');
		response.writeHead(status, {
			'content-length': Buffer.byteLength(body), 'stonemoor-attempt-id': call, 'stonemoor-response-signature': createSignature(call, body),
		});
		response.end(body);
	};

	const applyBehaviour = (behaviour: PlatformServerBehaviour, request: IncomingMessage, response: ServerResponse, body: string): void => {
		const {socket} = request;
		const call = getHeader(request, 'stonemoor-attempt-id');
		const head = `HTTP/1.1 200 OK\r\nStonemoor-Attempt-Id: ${call}\r\nStonemoor-Response-Signature: ${createSignature(call, body)}\r\n`;
		switch (behaviour) {
			case 'answer':
			case 'early': {
				sendResponse(response, request, 200, body);
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
				sendResponse(response, request, 500, 'failed');
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

	const recordRun = (request: IncomingMessage, body: string, behaviour: PlatformServerBehaviour): void => {
		runs.push({
			at: Date.now(),
			behaviour,
			id: getHeader(request, 'stonemoor-attempt-id'),
			method: request.method ?? '',
			target: request.url ?? '',
			callerService: getHeader(request, 'stonemoor-caller-service'),
			leftMs: Number(getHeader(request, 'stonemoor-deadline-ms')),
			body,
		});
	};

	const crash = (run: PlatformServerRun): void => {
		if (!server.listening) {
			return;
		}

		server.close();
		server.closeAllConnections();
		handleCrash(run);
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const behaviour = inFlight < slots ? planned.shift() ?? 'answer' : 'shed';
		const expected = request.headers['stonemoor-expected-instance'];
		if (expected !== undefined && expected !== id) {
			request.resume();
			response.writeHead(421, {'content-length': 0, 'stonemoor-instance-id': id, 'stonemoor-attempt-id': getHeader(request, 'stonemoor-attempt-id')});
			response.end();
			return;
		}

		if (behaviour === 'early') {
			recordRun(request, '', behaviour);
			applyBehaviour(behaviour, request, response, `page ${request.url}`);
			request.resume();
			return;
		}

		const body = await readBody(request);
		if (behaviour !== 'shed') {
			recordRun(request, body, behaviour);
		}

		if (behaviour === 'answer' && isFatal(request.url ?? '')) {
			const run = runs.at(-1)!;
			setTimeout(() => {
				crash(run);
			}, workMs);
			return;
		}

		let isClosed = false;
		inFlight++;
		response.once('close', () => {
			isClosed = true;
			inFlight--;
			disconnected += response.writableEnded || behaviour !== 'answer' ? 0 : 1;
		});
		setTimeout(() => {
			if (!isClosed) {
				applyBehaviour(behaviour, request, response, `page ${request.url} ${body}`);
			}
		}, workMs);
	};

	const handleSafely = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handle(request, response);
		} catch {
			// A connection that closes within the body ends the request; there is nobody left to answer.
			disconnected++;
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
		countDisconnected: () => disconnected,
		planBehaviours(...behaviours) {
			planned.push(...behaviours);
		},
		setWorkMs(milliseconds) {
			workMs = milliseconds;
		},
		setSlots(next) {
			slots = next;
		},
		countInFlight: () => inFlight,
		crashOn(isFatalTarget, handleEnd) {
			isFatal = isFatalTarget;
			handleCrash = handleEnd;
		},
		changeId(next) {
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
