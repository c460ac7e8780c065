/**
 * A stand-in for a backend server of the platform: responds with the platform's
 * headers, records the requests that it ran, and simulates planned faults.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** How the server handles a request. */
export type PlatformServerBehaviour =
	/** Runs the request and responds with status 200. */
	| 'answer'
	/** Runs the request and closes the connection without a response. */
	| 'lose'
	/** Sends fewer body bytes than its `Content-Length` says, then closes the connection. */
	| 'truncate'
	/** Responds with the attempt id of another request. */
	| 'foreign'
	/** Sends the same response a second time. */
	| 'extra'
	/** Sends neither `Content-Length` nor chunks; the closed connection ends the body. */
	| 'unframed'
	/** Like `unframed`, but resets the connection a moment after the complete body. */
	| 'unframed-reset'
	/** Like `unframed`, but resets the connection right after the first bytes of the body. */
	| 'unframed-cut'
	/** Rejects the request with status 503 and states that it was not executed. */
	| 'shed'
	/** Runs the request and responds with status 500. */
	| 'fail'
	/** Runs the request and responds with status 200, without a signature. */
	| 'unsigned'
	/** Runs the request and sends bytes that are not HTTP. */
	| 'garbage'
	/** Runs the request and responds before it has read the body. */
	| 'early'
	/** Runs the request and never responds. */
	| 'hang';

/** A request that the server ran. */
export type PlatformServerRun = {
	/** Unix milliseconds. */
	readonly at: number;
	/** How the server handled the request. */
	readonly behaviour: PlatformServerBehaviour;
	/** The attempt id. */
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly callerService: string;
	/** The time left until the deadline when the request was sent to the server, in milliseconds. */
	readonly leftMs: number;
	/** Name of the workspace that the request runs under. */
	readonly workspace: string | undefined;
	/** Whether the request carried credentials, which only the entry may see. */
	readonly hasCredentials: boolean;
	readonly body: string;
};

export type PlatformServer = {
	readonly id: string;
	readonly address: string;
	readonly runs: readonly PlatformServerRun[];
	/** Returns the number of requests whose connection closed before the response. */
	readonly countDisconnected: () => number;
	/** Queues the behaviours of the next requests. Requests beyond the queue are handled with `answer`. */
	readonly planBehaviours: (...behaviours: readonly PlatformServerBehaviour[]) => void;
	/** Sets the processing time of each request. */
	readonly setWorkMs: (milliseconds: number) => void;
	/** Sets the maximum number of concurrent requests. The server sheds requests beyond it. */
	readonly setSlots: (slots: number) => void;
	/** Returns the number of requests in flight. */
	readonly countInFlight: () => number;
	/** Makes the server crash while it runs a request for a fatal target with the behaviour `answer`: it closes all its connections and stops listening. */
	readonly crashOn: (isFatal: (target: string) => boolean, handleCrash: (run: PlatformServerRun) => void) => void;
	/** Sets the limit that all responses name, or text that is no limit; `undefined` for none. */
	readonly setLimit: (limit: number | string | undefined) => void;
	/** Sets whether all responses say that the server is leaving. */
	readonly setLeaving: (isLeaving: boolean) => void;
	/** Changes the server's id, as if another server had been started at its address. */
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
 * Starts a server on a loopback address.
 *
 * @param firstId - Its id, until `changeId` is called.
 * @param port - The port to listen on; 0 for any free port.
 * @param host - The loopback IP address to listen on.
 * @returns The server.
 */
export async function startPlatformServer(firstId: string, port = 0, host = '127.0.0.1'): Promise<PlatformServer> {
	let id = firstId;
	let workMs = 5;
	let disconnected = 0;
	let slots = Infinity;
	let inFlight = 0;
	/** Headers of all responses, by name. */
	const notices = new Map<string, string>();
	const setNotice = (name: string, value: string | undefined): void => {
		if (value === undefined) {
			notices.delete(name);
		} else {
			notices.set(name, value);
		}
	};

	const planned: PlatformServerBehaviour[] = [];
	const runs: PlatformServerRun[] = [];
	let isFatal = (_target: string): boolean => false;
	let handleCrash = (_run: PlatformServerRun): void => undefined;

	const sendResponse = (response: ServerResponse, request: IncomingMessage, status: number, body: string): void => {
		const call = getHeader(request, 'stonemoor-attempt-id');
		response.writeHead(status, {
			...Object.fromEntries(notices),
			'content-length': Buffer.byteLength(body), 'stonemoor-attempt-id': call, 'stonemoor-response-signature': createSignature(call, body),
		});
		response.end(body);
	};

	const applyBehaviour = (behaviour: PlatformServerBehaviour, request: IncomingMessage, response: ServerResponse, body: string): void => {
		const {socket} = request;
		const call = getHeader(request, 'stonemoor-attempt-id');
		const noticeLines = [...notices].map(([name, value]) => `${name}: ${value}\r\n`).join('');
		const head = `HTTP/1.1 200 OK\r\n${noticeLines}Stonemoor-Attempt-Id: ${call}\r\nStonemoor-Response-Signature: ${createSignature(call, body)}\r\n`;
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
				response.writeHead(503, {
					...Object.fromEntries(notices), 'content-length': 0, 'stonemoor-attempt-id': call, 'stonemoor-not-executed': '1',
				});
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
			workspace: request.headers['stonemoor-tenant'] as string | undefined,
			hasCredentials: request.headers.authorization !== undefined,
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
			// Reading the body fails if the caller closes the connection; no response is possible then.
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
		setLimit(limit) {
			setNotice('server-limit', limit === undefined ? undefined : String(limit));
		},
		setLeaving(isLeaving) {
			setNotice('server-leaving', isLeaving ? '1' : undefined);
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
