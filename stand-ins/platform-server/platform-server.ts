/**
 * A stand-in for a backend server of the platform: responds with the platform's
 * headers, records the requests that it ran, and simulates planned faults.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {applyBehaviour, getHeader, type PlatformServerBehaviour} from './apply-behaviour.js';
import {createHangingQueue, type HangingQueue, type HangingQueueOptions} from './hanging-queue.js';

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
	/** Sets a call that the server makes after the processing time of each request, with the time left of the request in milliseconds. The server responds with status 500 if it resolves with false. */
	readonly setNestedCall: (callNested: (leftMs: number) => Promise<boolean>) => void;
	/** Sets the maximum number of concurrent requests. The server sheds requests beyond it. */
	readonly setSlots: (slots: number) => void;
	/** Makes the server hang when it is full, and send load reports. Returns its queue. */
	readonly hangWhenFull: (options: HangingQueueOptions) => HangingQueue;
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

async function readBody(request: IncomingMessage, handleFailure: () => void): Promise<string> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}
	} catch (error) {
		handleFailure();
		throw error;
	}

	return Buffer.concat(chunks).toString();
}

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
	let queue: HangingQueue | undefined;
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
	let callNested: ((leftMs: number) => Promise<boolean>) | undefined;

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
		const behaviour = queue !== undefined || inFlight < slots ? planned.shift() ?? 'answer' : 'shed';
		const expected = request.headers['stonemoor-expected-instance'];
		if (expected !== undefined && expected !== id) {
			request.resume();
			response.writeHead(421, {'content-length': 0, 'stonemoor-instance-id': id, 'stonemoor-attempt-id': getHeader(request, 'stonemoor-attempt-id')});
			response.end();
			return;
		}

		const admittedBy = queue;
		if (admittedBy !== undefined && !(await admittedBy.admit(getHeader(request, 'stonemoor-attempt-id'), request.socket))) {
			return;
		}

		if (behaviour === 'early') {
			recordRun(request, '', behaviour);
			applyBehaviour(behaviour, {
				request, response, body: `page ${request.url}`, notices,
			});
			request.resume();
			admittedBy?.finish();
			return;
		}

		const body = await readBody(request, () => admittedBy?.finish());
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

		const endsAt = Date.now() + Number(getHeader(request, 'stonemoor-deadline-ms'));
		let isClosed = false;
		inFlight++;
		response.once('close', () => {
			isClosed = true;
			inFlight--;
			disconnected += response.writableEnded || behaviour !== 'answer' ? 0 : 1;
		});

		const sendResponseNow = (behaviourNow: PlatformServerBehaviour): void => {
			setNotice('stonemoor-server-load', admittedBy?.report());
			if (!isClosed) {
				applyBehaviour(behaviourNow, {
					request, response, body: `page ${request.url} ${body}`, notices,
				});
			}

			admittedBy?.finish();
		};

		const callOnAndRespond = async (makeCall: (leftMs: number) => Promise<boolean>): Promise<void> => {
			const isAnswered = await makeCall(endsAt - Date.now());
			sendResponseNow(isAnswered ? behaviour : 'fail');
		};

		setTimeout(() => {
			if (callNested === undefined || isClosed) {
				sendResponseNow(behaviour);
			} else {
				void callOnAndRespond(callNested);
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
		setNestedCall(call) {
			callNested = call;
		},
		setSlots(next) {
			slots = next;
		},
		hangWhenFull(options) {
			queue = createHangingQueue(options);
			return queue;
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
