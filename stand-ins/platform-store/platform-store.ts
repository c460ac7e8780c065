/**
 * A stand-in for the platform's metadata store: an HTTP server with the store's
 * calls, and with faults that a test can switch on.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, ServerResponse, type IncomingMessage,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {
	createKeySpace, type KeySpace, type KeySpaceBackup, type Transaction,
} from './key-space.js';

/** A fault of the store. */
export type StoreFault =
	| 'none'
	/** Rejects every request with status 503. */
	| 'busy'
	/** Rejects every request with status 429. */
	| 'many'
	/** Resets the connection of every request. */
	| 'reset'
	/** Never responds. */
	| 'silent'
	/** Executes writes without sending a response; reads work. */
	| 'lost';

export type PlatformStore = {
	readonly address: string;
	readonly keys: KeySpace;
	/** Sets the fault, and a delay before each response in milliseconds. */
	readonly setFault: (fault: StoreFault, slowMs?: number) => void;
	/** While set, watches get no events: they end without events after their waiting time. */
	readonly setWatchEventsSuppressed: (isSuppressed: boolean) => void;
	/** Stops sending on the connections of the pending watches without closing them, as on half-open connections. Other and new connections are not affected. */
	readonly stallWatchConnections: () => void;
	/** Restores a backup: closes the connections of pending watches and increases the era, which each response states in its header `store-era`. */
	readonly restore: (backup: KeySpaceBackup) => void;
	/** Writes a configuration as the operator does: a string as it is, any other value as JSON. */
	readonly putConfig: (value: unknown) => void;
	/** Returns the configuration that the operator wrote last. */
	readonly getConfig: () => string | undefined;
	/** Returns the number of calls by method and path, rejected transactions included. Requests that a fault stops are not counted. */
	readonly getCounts: () => ReadonlyMap<string, number>;
	readonly close: () => Promise<void>;
};

const maximumRangeItems = 500;
const leaseExpiryPeriodMs = 50;

type JsonBody = Readonly<Record<string, unknown>>;

async function readJson(request: IncomingMessage): Promise<JsonBody> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : JSON.parse(text) as JsonBody;
}

/** Open connections on which the store no longer sends anything. */
const stalledSockets = new WeakSet<Socket>();

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	if (response.socket !== null && stalledSockets.has(response.socket)) {
		return;
	}

	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

function parseMilliseconds(text: unknown): number {
	const match = /^([\d.]+)(ms|s)$/.exec(String(text));
	return match === null ? 0 : Number(match[1]) * (match[2] === 's' ? 1000 : 1);
}

/**
 * Starts a store on a free port of the loopback address.
 *
 * @returns The store.
 */
export async function startPlatformStore(): Promise<PlatformStore> {
	const keys = createKeySpace(() => performance.now());
	const counts = new Map<string, number>();
	let fault: StoreFault = 'none';
	let slowMs = 0;
	let areWatchEventsSuppressed = false;
	const pendingWatches = new Set<ServerResponse>();
	/** Starts at 1 and increases with each restored backup. */
	let era = 1;

	const getKey = (query: URLSearchParams, response: ServerResponse): void => {
		const item = keys.getItem(query.get('key') ?? '');
		const revision = {'store-revision': keys.getRevision()};
		sendJson(response, item === undefined ? 404 : 200, item === undefined ? revision : {...item, ...revision});
	};

	const getRange = (query: URLSearchParams, response: ServerResponse): void => {
		const all = keys.listItems(query.get('prefix') ?? '', query.get('after') ?? '');
		sendJson(response, 200, {items: all.slice(0, maximumRangeItems), 'has-more': all.length > maximumRangeItems, 'store-revision': keys.getRevision()});
	};

	const watchKeys = (query: URLSearchParams, response: ServerResponse): void => {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const answerIfChanged = (): boolean => {
			const events = keys.listEvents(prefix, after);
			if (events === undefined) {
				sendJson(response, 410, {error: 'the history after this revision was compacted'});
				return true;
			}

			if (events.length === 0 || areWatchEventsSuppressed) {
				return false;
			}

			sendJson(response, 200, {events, 'store-revision': keys.getRevision()});
			return true;
		};

		if (answerIfChanged()) {
			return;
		}

		pendingWatches.add(response);
		const stop = (): void => {
			clearTimeout(timer);
			unsubscribe();
			pendingWatches.delete(response);
		};

		const timer = setTimeout(() => {
			stop();
			sendJson(response, 200, {events: [], 'store-revision': keys.getRevision()});
		}, Number(query.get('wait-ms')));
		const unsubscribe = keys.subscribe(() => {
			if (answerIfChanged()) {
				stop();
			}
		});
		response.once('close', stop);
	};

	const commit = (body: JsonBody, response: ServerResponse): void => {
		const {expect = [], writes = [], remove = []} = body as Partial<Transaction>;
		const transaction: Transaction = {expect, writes, remove};
		const keysWritten = [...transaction.writes.map(({key}) => key), ...transaction.remove];
		if (keysWritten.some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			sendJson(response, 403, {error: 'keys with the prefix op/ or servers/ are read-only'});
			return;
		}

		const result = keys.commit(transaction);
		switch (result.type) {
			case 'done': {
				sendJson(response, 200, {revision: result.revision});
				break;
			}

			case 'conflict': {
				sendJson(response, 412, {items: result.items});
				break;
			}

			case 'no-lease': {
				sendJson(response, 404, {error: 'no such lease'});
				break;
			}
		}
	};

	const grantLease = (body: JsonBody, response: ServerResponse): void => {
		const ttlMs = parseMilliseconds(body.ttl_time);
		sendJson(response, 200, {lease: keys.grantLease(ttlMs), ttl_time: `${ttlMs}ms`});
	};

	const changeLease = (path: string, response: ServerResponse): void => {
		const lease = Number(path.split('/').at(-1));
		const ttlMs = path.startsWith('/v1/kv-keep/') ? keys.renewLease(lease) : undefined;
		const isDone = ttlMs !== undefined || (path.startsWith('/v1/kv-lease-end/') && keys.endLease(lease));
		sendJson(response, isDone ? 200 : 404, ttlMs === undefined ? {} : {ttl_time: `${ttlMs}ms`});
	};

	const dispatch = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		response.setHeader('store-era', String(era));
		const url = new URL(request.url ?? '/', 'http://store');
		const call = `${request.method} ${url.pathname.replace(/\/\d+$/, '')}`;
		counts.set(call, (counts.get(call) ?? 0) + 1);
		const body = await readJson(request);
		switch (call) {
			case 'GET /v1/kv-key': {
				getKey(url.searchParams, response);
				break;
			}

			case 'GET /v1/kv-range': {
				getRange(url.searchParams, response);
				break;
			}

			case 'GET /v1/kv-watch': {
				watchKeys(url.searchParams, response);
				break;
			}

			case 'POST /v1/kv-txn': {
				commit(body, response);
				break;
			}

			case 'POST /v1/kv-lease': {
				grantLease(body, response);
				break;
			}

			default: {
				changeLease(url.pathname, response);
			}
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		if (fault === 'busy' || fault === 'many') {
			sendJson(response, fault === 'busy' ? 503 : 429, {error: fault});
			return;
		}

		if (fault === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		if (fault === 'silent') {
			return;
		}

		if (fault === 'lost' && request.method !== 'GET') {
			// This response object has no connection, so what is written to it is never sent.
			await dispatch(request, new ServerResponse(request));
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, slowMs);
		});
		await dispatch(request, response);
	};

	const handleSafely = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handle(request, response);
		} catch (error) {
			// Reading the body fails if the client closes the connection; no response is possible then.
			if (!request.destroyed) {
				throw error;
			}
		}
	};

	const server = createServer((request, response) => {
		void handleSafely(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const timer = setInterval(keys.endExpiredLeases, leaseExpiryPeriodMs);
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		keys,
		setFault(next, nextSlowMs = 0) {
			fault = next;
			slowMs = nextSlowMs;
		},
		setWatchEventsSuppressed(next) {
			areWatchEventsSuppressed = next;
		},
		stallWatchConnections() {
			for (const {socket} of pendingWatches) {
				if (socket !== null) {
					stalledSockets.add(socket);
				}
			}
		},
		restore(backup) {
			era++;
			keys.restore(backup);
			for (const response of pendingWatches) {
				response.destroy();
			}
		},
		putConfig(value) {
			keys.commit({expect: [], writes: [{key: 'op/config', value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64')}], remove: []});
		},
		getConfig() {
			const item = keys.getItem('op/config');
			return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString();
		},
		getCounts: () => counts,
		async close() {
			clearInterval(timer);
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
