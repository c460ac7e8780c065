/**
 * A stand-in for a worker of the platform, beside one node: a server with slots and a queue, and
 * its heartbeats.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, request as openRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type CaseRecord} from './record.js';
import {ports} from './settings.js';

/** A request that reached a worker. */
export type Arrival = {
	readonly worker: string;
	readonly call: string;
	readonly method: string;
	readonly path: string;
	readonly callerService: string;
	readonly tenant: string | undefined;
	/** Milliseconds since the start of the case. */
	readonly reachedAt: number;
	readonly deadlineMs: number;
	/** When the worker began to work on it, and when it ended; `undefined` if it did not. */
	startedAt: number | undefined;
	endedAt: number | undefined;
	/** Whether the response was sent, or the connection closed before. */
	isAnswered: boolean;
	bodyBytes: number;
};

export type WorkerOptions = {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly version: string;
	/** Loopback address of its machine. */
	readonly host: string;
	readonly slots: number;
	/** Requests that may wait for a slot. */
	readonly queue: number;
	readonly computeWorkMs: (path: string) => number;
	readonly record: CaseRecord;
};

export type Worker = {
	readonly id: string;
	readonly arrivals: readonly Arrival[];
	/** Sends `draining` until it is acknowledged. Returns when that was, in milliseconds since the start of the case. */
	readonly drain: () => Promise<number>;
	/** Sends a leave until it is acknowledged. Returns when that was, in milliseconds since the start of the case. */
	readonly leave: () => Promise<number>;
	/** Stops heartbeats, closes all connections and stops listening. */
	readonly close: () => Promise<void>;
};

/** Interval of heartbeats, as in the settings of the platform. */
const heartbeatMs = 1500;

/** Time for the acknowledgement of a message. */
const acknowledgementMs = 1000;

const getText = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? '');

/** Sends a message to a node. Returns whether it was acknowledged in time. */
async function sendMessage(host: string, target: string, body: string): Promise<boolean> {
	return new Promise(resolve => {
		const outgoing = openRequest({
			host, port: ports.control, method: 'POST', path: target, agent: false, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
		}, incoming => {
			incoming.resume();
			incoming.once('end', () => {
				clearTimeout(timer);
				resolve(incoming.statusCode === 200);
			});
		});
		const timer = setTimeout(() => {
			outgoing.destroy();
			resolve(false);
		}, acknowledgementMs);
		outgoing.once('error', () => {
			clearTimeout(timer);
			resolve(false);
		});
		outgoing.end(body);
	});
}

/**
 * Starts a worker and its heartbeats.
 *
 * @param options - The worker, and its machine.
 * @returns The worker, once it listens.
 */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
	const {id, service, zone, version, host, slots, queue, computeWorkMs, record} = options;
	const arrivals: Arrival[] = [];
	const waiting: Array<() => void> = [];
	let running = 0;
	let sequence = 0;
	let state: 'ready' | 'draining' = 'ready';
	let isLeaving = false;
	let isClosed = false;

	const releaseSlot = (): void => {
		const startNext = waiting.shift();
		if (startNext === undefined) {
			running--;
			return;
		}

		startNext();
	};

	const takeSlot = async (): Promise<void> => {
		if (running < slots) {
			running++;
			return;
		}

		await new Promise<void>(resolve => {
			waiting.push(resolve);
		});
	};

	const listHeaders = (call: string): Record<string, string> => ({
		'stonemoor-attempt-id': call, 'stonemoor-server-load': `${running},${waiting.length},${slots}`,
		// A worker that is leaving says so.
		...isLeaving ? {connection: 'close'} : {},
	});

	const readBody = async (request: IncomingMessage): Promise<number> => {
		let bytes = 0;
		for await (const chunk of request) {
			bytes += (chunk as Uint8Array).length;
		}

		return bytes;
	};

	const work = async (request: IncomingMessage, response: ServerResponse, arrival: Arrival): Promise<void> => {
		const {call, path} = arrival;
		let isGone = false;
		response.once('close', () => {
			isGone = !response.writableEnded;
		});
		await takeSlot();
		try {
			if (isGone) {
				return;
			}

			const leftMs = arrival.reachedAt + arrival.deadlineMs - record.getTime();
			if (leftMs <= 0) {
				refuse(request, response, 503);
				return;
			}

			arrival.startedAt = record.getTime();
			arrival.bodyBytes = await readBody(request);
			record.write(`worker ${id} runs ${call}`);
			// A worker stops work at the time budget that it receives.
			const isInTime = computeWorkMs(path) <= leftMs;
			await new Promise(resolve => {
				setTimeout(resolve, Math.min(computeWorkMs(path), leftMs));
			});
			arrival.endedAt = record.getTime();
			if (isGone) {
				record.write(`worker ${id}: the connection of ${call} has closed`);
				return;
			}

			const status = isInTime ? 200 : 504;
			const body = `worker ${id} ran ${call}`;
			response.writeHead(status, {...listHeaders(call), 'stonemoor-response-signature': `${id}.${call}`, 'content-length': Buffer.byteLength(body)});
			response.end(body);
			arrival.isAnswered = true;
		} finally {
			releaseSlot();
		}
	};

	const refuse = (request: IncomingMessage, response: ServerResponse, status: number): void => {
		request.resume();
		response.writeHead(status, {...listHeaders(getText(request, 'stonemoor-attempt-id')), 'stonemoor-not-executed': '1', 'content-length': 0});
		response.end();
	};

	const answerStatusCheck = (request: IncomingMessage, response: ServerResponse): void => {
		request.resume();
		response.writeHead(isLeaving ? 503 : 200, {
			'stonemoor-instance-id': id, 'stonemoor-server-load': `${running},${waiting.length},${slots}`, 'content-length': 0,
		});
		response.end();
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		if (request.method === 'GET' && request.url === '/healthz') {
			answerStatusCheck(request, response);
			return;
		}

		const call = getText(request, 'stonemoor-attempt-id');
		const expected = request.headers['stonemoor-expected-instance'];
		if (expected !== undefined && expected !== id) {
			request.resume();
			response.writeHead(421, {'stonemoor-attempt-id': call, 'stonemoor-instance-id': id, 'content-length': 0});
			response.end();
			return;
		}

		const arrival: Arrival = {
			worker: id, call, method: request.method ?? '', path: request.url ?? '', callerService: getText(request, 'stonemoor-caller-service'),
			tenant: request.headers['stonemoor-tenant'] as string | undefined, reachedAt: record.getTime(), deadlineMs: Number(getText(request, 'stonemoor-deadline-ms')),
			startedAt: undefined, endedAt: undefined, isAnswered: false, bodyBytes: 0,
		};
		record.write(`worker ${id} receives ${call}`);
		if (call === '' || (running >= slots && waiting.length >= queue)) {
			refuse(request, response, call === '' ? 400 : 503);
			return;
		}

		arrivals.push(arrival);
		try {
			await work(request, response, arrival);
		} catch {
			record.write(`worker ${id}: the connection of ${call} has closed before its body was complete`);
		}
	};

	const server = createServer((request, response) => {
		void handle(request, response);
	});
	server.keepAliveTimeout = 10_000;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(ports.app, host, resolve);
	});

	const sendHeartbeat = async (): Promise<boolean> => sendMessage(host, `/v1/rpc?call=instances.heartbeat&of=${id}`, JSON.stringify({
		address: `${host}:${ports.app}`,
		info: {
			service, version, zone, slots,
		},
		status: {state, sequence: ++sequence, 'cold-remaining': '0ms'},
	}));

	const timer = setInterval(() => {
		void sendHeartbeat();
	}, heartbeatMs);
	void sendHeartbeat();

	const sendUntilAcknowledged = async (what: string, send: () => Promise<boolean>): Promise<number> => {
		while (!isClosed) {
			record.write(`worker ${id} sends ${what}`);
			if (await send()) {
				record.write(`worker ${id} has the acknowledgement of ${what}`);
				return record.getTime();
			}
		}

		throw new Error(`worker ${id} was closed before ${what} was acknowledged`);
	};

	return {
		id,
		arrivals,
		async drain() {
			state = 'draining';
			isLeaving = true;
			return sendUntilAcknowledged('draining', sendHeartbeat);
		},
		async leave() {
			clearInterval(timer);
			isLeaving = true;
			return sendUntilAcknowledged('leave', async () => sendMessage(host, `/v1/rpc?call=instances.leave&of=${id}`, ''));
		},
		async close() {
			if (isClosed) {
				return;
			}

			isClosed = true;
			clearInterval(timer);
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
