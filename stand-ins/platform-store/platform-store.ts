/**
 * Stands in for the platform's metadata store: its calls over HTTP, and the
 * ways in which it misbehaves.
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

/** How the store misbehaves. */
export type StoreFault =
	| 'none'
	/** Answers 503 to everything. */
	| 'busy'
	/** Answers 429 to everything. */
	| 'many'
	/** Resets every connection. */
	| 'reset'
	/** Answers nothing. */
	| 'silent'
	/** Executes writes and does not answer them. */
	| 'lost';

export type PlatformStore = {
	readonly address: string;
	readonly keys: KeySpace;
	readonly setFault: (fault: StoreFault, slowMs?: number) => void;
	/** Watches hear nothing while this is set. */
	readonly setWatchEventsSuppressed: (isSuppressed: boolean) => void;
	/** Connections of watches that wait now carry nothing more, without a reset; others and new ones work. */
	readonly stallWatchConnections: () => void;
	/** Comes back from a copy: watches are cut, and each answer from here on says so. */
	readonly restore: (backup: KeySpaceBackup) => void;
	/** The operator's write of a configuration. */
	readonly putConfig: (value: unknown) => void;
	/** What the operator wrote last. */
	readonly getConfig: () => string | undefined;
	/** Calls by name, refused ones included. */
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

/** Connections that have fallen silent. */
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
	/** How often it has come back from a copy, from one on. */
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
				sendJson(response, 410, {error: 'this history is gone'});
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
			sendJson(response, 403, {error: 'these keys are not yours'});
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
			// An answer without a connection goes nowhere.
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
			// A connection that closes within the body ends the request; there is nobody left to answer.
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
