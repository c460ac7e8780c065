/**
 * A stand-in for a users' backend server. It has a concurrency limit, a cold
 * start, load shedding, draining, cancellation and deadlines. Its health and
 * load endpoints return configured values, whatever its state is.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createReadStream, createWriteStream} from 'node:fs';
import {rename, stat} from 'node:fs/promises';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {join} from 'node:path';
import {Transform} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {request as sendRequest} from 'undici';
import {settle} from '../../src/lib/common/settle.js';
import {createPage} from './page.js';

export type BackendServerSettings = {
	readonly id: string;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	readonly connections: number;
	/** `IP:PORT` at which the node beside it accepts announcements. If undefined, the server doesn't announce itself. */
	readonly announcements?: string;
	/** The directory of uploaded bundles. All backend servers share it, as they share the users' object storage. */
	readonly bundleDirectory: string;
};

/** The server's current behaviour, faults included. */
export type BackendBehaviour = {
	/** Processing time of each request, in milliseconds. */
	readonly workMs: number;
	/** Additional processing time of the first `coldRequests` requests after the start, in milliseconds. */
	readonly coldMs: number;
	readonly coldRequests: number;
	/** Whether it rejects every request with status 503 and the verdict `not-run`. */
	readonly isShedding: boolean;
	/** The limit that its responses name; none if empty. */
	readonly limit: string;
	/** Whether its responses say that it leaves. */
	readonly saysItLeaves: boolean;
	/** How many of the next responses end in the middle of the body, with the connection closed. */
	readonly cutAnswers: number;
	/** How many of the next requests run, but get no response: the connection is closed instead. */
	readonly cutBeforeAnswer: number;
	/** A request for this path crashes the server once it has run: all connections close without a response. No path crashes it if empty. */
	readonly crashPath: string;
	/** A URL that it calls after the processing time, with the timeout of the request; it responds with status 500 if that call does not get status 200. No call if empty. */
	readonly nestedUrl: string;
	/** Whether it responds with status 413 before it has read the body. */
	readonly answersEarly: boolean;
	/** What the health endpoint returns, independent of the server's state. */
	readonly claimedHealth: 'ok' | 'failing';
	/** What the load endpoint returns, independent of the server's load. */
	readonly claimedLoad: number;
};

/** What the server itself counted. */
export type RequestCounts = {
	readonly requests: number;
	readonly cancelled: number;
	readonly highestConcurrency: number;
	/** How many times each `POST` request ran, by its idempotency key, or by its path if it has no key. */
	readonly runs: Readonly<Record<string, number>>;
	/** How many times each call reached this server, by the call id that the mesh sends. */
	readonly calls: Readonly<Record<string, number>>;
};

export type BackendServerStandIn = {
	readonly address: string;
	readonly getRequestCounts: () => RequestCounts;
	readonly setBehaviour: (changes: Partial<BackendBehaviour>) => void;
	/** Notifies the node that it drains, waits for the requests in flight, withdraws its announcement and stops. */
	readonly drain: () => Promise<void>;
	/** Stops immediately and closes all connections, without notifying the node. */
	readonly kill: () => Promise<void>;
	/** Whether it listens on its address. */
	readonly isUp: () => boolean;
};

const defaultBehaviour: BackendBehaviour = {
	workMs: 2, coldMs: 0, coldRequests: 0, isShedding: false, limit: '', saysItLeaves: false, cutAnswers: 0, cutBeforeAnswer: 0, crashPath: '', nestedUrl: '', answersEarly: false, claimedHealth: 'ok', claimedLoad: 0,
};

const announcePeriodMs = 1000;
const drainPollMs = 20;

async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}

function sendText(response: ServerResponse, status: number, text: string, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(status, {'content-type': 'text/plain', 'content-length': Buffer.byteLength(text), ...headers});
	response.end(text);
}

/** Starts a backend server and announces it to the node beside it. */
export async function startBackendServer(settings: BackendServerSettings): Promise<BackendServerStandIn> {
	let behaviour = defaultBehaviour;
	let inFlight = 0;
	let highestConcurrency = 0;
	let requests = 0;
	let cancelled = 0;
	let isClosing = false;
	let busySlots = 0;
	const slotQueue: Array<() => void> = [];
	const runs = new Map<string, number>();
	const calls = new Map<string, number>();

	const countRun = (key: string | undefined): number => {
		if (key === undefined) {
			return 0;
		}

		const count = (runs.get(key) ?? 0) + 1;
		runs.set(key, count);
		return count;
	};

	const storeBundle = async (request: IncomingMessage, response: ServerResponse, file: string): Promise<void> => {
		const hash = createHash('sha256');
		const hasher = new Transform({
			transform(chunk: Uint8Array, _encoding, done) {
				hash.update(chunk);
				done(undefined, chunk);
			},
		});
		const partial = `${file}.${settings.id}.part`;
		await pipeline(request, hasher, createWriteStream(partial));
		await rename(partial, file);
		sendText(response, 201, hash.digest('hex'));
	};

	const sendBundle = async (response: ServerResponse, file: string): Promise<void> => {
		const found = await settle(stat(file));
		if (found === undefined) {
			sendText(response, 404, 'no such bundle');
			return;
		}

		response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': found.size});
		await pipeline(createReadStream(file), response);
	};

	/** Waits for a free slot. The queue is unbounded, as it is in a server without admission control of its own. */
	const acquireSlot = async (): Promise<void> => {
		if (busySlots < settings.slots) {
			busySlots++;
			return;
		}

		await new Promise<void>(resolve => {
			slotQueue.push(resolve);
		});
	};

	const releaseSlot = (): void => {
		const next = slotQueue.shift();
		if (next === undefined) {
			busySlots--;
		} else {
			next();
		}
	};

	/** Spends the processing time of a request in a slot. Throws if the caller disconnects or the deadline passes first. */
	const work = async (signal: AbortSignal): Promise<void> => {
		await acquireSlot();
		const isCold = requests <= behaviour.coldRequests;
		const workMs = behaviour.workMs + (isCold ? behaviour.coldMs : 0);
		try {
			signal.throwIfAborted();
			if (workMs > 0) {
				await sleep(workMs, undefined, {signal});
			}
		} finally {
			releaseSlot();
		}
	};

	/** Returns a signal that aborts when the caller disconnects, or after the timeout in the request's headers. */
	const createCancelSignal = (request: IncomingMessage, response: ServerResponse): AbortSignal => {
		const disconnect = new AbortController();
		response.once('close', () => {
			disconnect.abort();
		});
		const timeoutMs = Number(request.headers['request-timeout-ms'] ?? 0);
		return timeoutMs > 0 ? AbortSignal.any([disconnect.signal, AbortSignal.timeout(timeoutMs)]) : disconnect.signal;
	};

	/** Makes the nested call, if any. Returns whether it succeeded. */
	const callNested = async ({headers}: IncomingMessage): Promise<boolean> => {
		if (behaviour.nestedUrl === '') {
			return true;
		}

		const answer = await settle(sendRequest(behaviour.nestedUrl, {headers: {host: 'mesh.example', 'request-timeout-ms': String(headers['request-timeout-ms'] ?? '')}}));
		await answer?.body.dump();
		return answer?.statusCode === 200;
	};

	const handleWork = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const path = request.url ?? '/';
		const bundle = /^\/bundles\/([\w.-]+)$/.exec(path)?.[1];
		const file = join(settings.bundleDirectory, bundle ?? 'none');
		if (behaviour.answersEarly) {
			sendText(response, 413, 'too large');
			return;
		}

		if (bundle !== undefined && request.method === 'PUT') {
			await storeBundle(request, response, file);
			return;
		}

		if (bundle !== undefined && request.method === 'GET') {
			await sendBundle(response, file);
			return;
		}

		await readBody(request);
		await work(createCancelSignal(request, response));
		if (path === behaviour.crashPath) {
			await close();
			return;
		}

		if (!await callNested(request)) {
			sendText(response, 500, 'a nested call has failed');
			return;
		}

		const key = request.headers['idempotency-key'] as string | undefined;
		const count = request.method === 'POST' ? countRun(key ?? path) : 0;
		if (behaviour.cutBeforeAnswer > 0) {
			behaviour = {...behaviour, cutBeforeAnswer: behaviour.cutBeforeAnswer - 1};
			request.socket.destroy();
			return;
		}

		const text = request.method === 'POST' ? `run ${count} of ${key ?? path}` : createPage(path);
		if (behaviour.cutAnswers > 0) {
			behaviour = {...behaviour, cutAnswers: behaviour.cutAnswers - 1};
			response.writeHead(200, {'content-length': Buffer.byteLength(text)});
			response.write(text.slice(0, text.length / 2), () => {
				request.socket.destroy();
			});
			return;
		}

		sendText(response, 200, text, {
			'x-served-by': settings.id,
			...behaviour.limit === '' ? {} : {'server-limit': behaviour.limit},
			...behaviour.saysItLeaves ? {'server-leaving': '1'} : {},
		});
	};

	const getRequestCounts = (): RequestCounts => ({
		requests, cancelled, highestConcurrency, runs: Object.fromEntries(runs), calls: Object.fromEntries(calls),
	});

	const handleControl = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		switch (request.url) {
			case '/health': {
				sendText(response, behaviour.claimedHealth === 'ok' ? 200 : 503, behaviour.claimedHealth);
				return;
			}

			case '/load': {
				sendText(response, 200, String(behaviour.claimedLoad));
				return;
			}

			case '/_ledger': {
				sendText(response, 200, JSON.stringify(getRequestCounts()));
				return;
			}

			default: {
				const body = await readBody(request);
				behaviour = {...behaviour, ...JSON.parse(Buffer.from(body).toString()) as Partial<BackendBehaviour>};
				sendText(response, 200, 'ok');
			}
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		if (['/health', '/load', '/_ledger', '/_behaviour'].includes(request.url ?? '')) {
			await handleControl(request, response);
			return;
		}

		if (behaviour.isShedding) {
			sendText(response, 503, 'busy', {'stonemoor-verdict': 'not-run', 'retry-after': '1'});
			return;
		}

		requests++;
		inFlight++;
		highestConcurrency = Math.max(highestConcurrency, inFlight);
		const call = request.headers['stonemoor-call'] as string | undefined;
		if (call !== undefined) {
			calls.set(call, (calls.get(call) ?? 0) + 1);
			response.setHeader('stonemoor-call', call);
		}

		response.once('close', () => {
			inFlight--;
			if (!response.writableFinished) {
				cancelled++;
			}
		});
		await handleWork(request, response);
	};

	const handleSafely = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handle(request, response);
		} catch {
			response.destroy();
		}
	};

	const server = createServer({keepAliveTimeout: 20_000, requestTimeout: 0}, (request, response) => {
		void handleSafely(request, response);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(settings.port, settings.host, resolve);
	});
	const {port} = server.address() as AddressInfo;
	const address = `${settings.host}:${port}`;

	const callNode = async (method: 'POST' | 'DELETE', path: string, body?: unknown): Promise<void> => {
		if (settings.announcements === undefined) {
			return;
		}

		const reply = await settle(sendRequest(`http://${settings.announcements}${path}`, {
			method, body: body === undefined ? undefined : JSON.stringify(body), headers: {'content-type': 'application/json'}, headersTimeout: 2000,
		}));
		await reply?.body.dump();
	};

	const announce = async (): Promise<void> => callNode('POST', '/v1/announcements', {
		id: settings.id, service: settings.service, address, slots: settings.slots, connections: settings.connections,
	});
	await announce();
	const timer = setInterval(announce, announcePeriodMs);

	const close = async (): Promise<void> => {
		clearInterval(timer);
		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
			server.closeAllConnections();
		});
	};

	return {
		address,
		getRequestCounts,
		setBehaviour(changes) {
			behaviour = {...behaviour, ...changes};
		},
		async drain() {
			if (isClosing) {
				return;
			}

			isClosing = true;
			await callNode('POST', `/v1/announcements/${settings.id}/drain`);
			while (inFlight > 0) {
				await sleep(drainPollMs);
			}

			clearInterval(timer);
			await callNode('DELETE', `/v1/announcements/${settings.id}`);
			await close();
		},
		kill: close,
		isUp: () => server.listening,
	};
}
