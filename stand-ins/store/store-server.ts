/**
 * Serves the stand-in for the platform's key-value store over HTTP.
 *
 * - `GET /v1/keys/KEY`: returns the value and its revision, or 404.
 * - `GET /v1/keys/KEY?after=REVISION&wait=MS`: waits for a revision other than this one; 304 on timeout.
 * - `PUT /v1/keys/KEY?revision=REVISION`: compare-and-swap; 409 with the current revision if it differs.
 * - `DELETE /v1/keys/KEY?revision=REVISION`: removes the key if the revision matches, otherwise 409.
 * - `GET /control` and `PUT /control`: read and set the faults.
 * - `GET /calls`: returns the numbers of calls.
 * - `POST /lapse`: removes all leased keys.
 * - `POST /backup` and `POST /restore`: keep a backup in memory and restore it.
 *
 * @module
 */
import {type AddressInfo} from 'node:net';
import {type Server} from 'node:http';
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {
	createMemoryStore, type MemoryStore, type StoreFaults, type StoreBackup,
} from './memory-store.js';

export type StoreServer = {
	readonly address: string;
	readonly store: MemoryStore;
	readonly dispose: () => Promise<void>;
};

/** How long the server holds back a response that the faults declare lost. Clients time out earlier. */
const lostAnswerDelayMs = 60_000;

function createApp(store: MemoryStore): Hono {
	const app = new Hono();
	let backup: StoreBackup = [];

	app.get('/v1/keys/:key', async context => {
		const key = context.req.param('key');
		const wait = Number(context.req.query('wait') ?? 0);
		const after = context.req.query('after');
		const result = after === undefined
			? await store.read(key)
			: await store.watch({
				key, knownRevision: Number(after), timeoutMs: wait, signal: context.req.raw.signal,
			});
		return result.match(
			stored => stored === undefined ? context.body(null, after === undefined ? 404 : 304) : context.json(stored),
			error => context.json(error, 503),
		);
	});

	app.on(['PUT', 'DELETE'], '/v1/keys/:key', async context => {
		const body = context.req.method === 'PUT' ? await context.req.json<{value: string}>() : undefined;
		const life = context.req.query('life');
		const result = await store.write({
			key: context.req.param('key'),
			value: body?.value,
			expectedRevision: Number(context.req.query('revision') ?? 0),
			ttlMs: life === undefined ? undefined : Number(life),
		});
		if (result.isOk()) {
			return context.json({revision: result.value});
		}

		switch (result.error.type) {
			case 'conflict': {
				return context.json({revision: result.error.revision}, 409);
			}

			case 'not-applied': {
				return context.json(result.error, result.error.reason.includes('large') ? 413 : 429);
			}

			case 'unavailable': {
				return context.json(result.error, 429);
			}

			case 'unknown': {
				// Holds the response back, as on a half-open connection.
				await new Promise(resolve => {
					const timer = setTimeout(resolve, lostAnswerDelayMs);
					context.req.raw.signal.addEventListener('abort', () => {
						clearTimeout(timer);
						resolve(undefined);
					});
				});
				return context.json(result.error, 504);
			}
		}
	});

	app.get('/control', context => context.json(store.getFaults()));
	app.put('/control', async context => {
		store.setFaults(await context.req.json<Partial<StoreFaults>>());
		return context.json(store.getFaults());
	});
	app.get('/calls', context => context.json(store.getCallCounts()));
	app.post('/lapse', context => {
		store.expireLeases();
		return context.json({});
	});
	app.post('/backup', context => {
		backup = store.createBackup();
		return context.json({keys: backup.length});
	});
	app.post('/restore', context => {
		store.restoreBackup(backup);
		return context.json({keys: backup.length});
	});
	return app;
}

/**
 * Starts the HTTP server with an empty store.
 *
 * @param hostname - The IP address to listen on.
 * @param port - The port to listen on; 0 for any free port.
 */
export async function startStoreServer(hostname: string, port: number): Promise<StoreServer> {
	const store = createMemoryStore();
	const app = createApp(store);
	return new Promise(resolve => {
		const server = serve({fetch: app.fetch, hostname, port}, (info: AddressInfo) => {
			resolve({
				address: `${hostname}:${info.port}`,
				store,
				async dispose() {
					await new Promise<void>(resolve => {
						server.close(() => {
							resolve();
						});
						(server as Server).closeAllConnections();
					});
				},
			});
		});
	});
}
