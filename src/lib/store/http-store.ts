/**
 * HTTP client of the platform's key-value store.
 *
 * @module
 */
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import {type Address} from '../common/ids.js';
import {parseJson} from '../common/parse-json.js';
import {
	type Store, type StoredValue, type StoreError, type StoreReadError, type StoreWatch, type StoreWrite,
} from './store.js';

/** @public */
export type HttpStoreSettings = {
	readonly address: Address;
	/** Timeout of reads and writes, in milliseconds. */
	readonly timeoutMs: number;
};

/** A store whose connections can be closed. @public */
export type DisposableStore = Store & {readonly dispose: () => Promise<void>};

type Reply = {readonly status: number; readonly body: string};

/** Connections to the store: one for watches, which block until a change, and one for reads and writes. */
const connectionsPerNode = 2;

/** Added to the timeout of a watch on the client side, so that the store's answer at the end of the watch still arrives. */
const watchGraceMs = 2000;

const storedValueSchema = z.object({value: z.string(), revision: z.int()}).readonly();
const revisionSchema = z.object({revision: z.int()}).readonly();

/** Error codes of failures before any byte of the request was sent. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL']);

function describeFailure(error: unknown): {readonly code: string; readonly reason: string} {
	const {code = 'UNKNOWN', message = String(error)} = error as {readonly code?: string; readonly message?: string};
	return {code, reason: `${code}: ${message}`};
}

function parseStoredValue(body: string): Result<StoredValue, StoreReadError> {
	return parseJson(body, storedValueSchema)
		.mapErr((problem): StoreReadError => ({type: 'unavailable', reason: `invalid answer from the store: ${problem}`}));
}

function parseWriteReply(reply: Reply): Result<number, StoreError> {
	const revision = parseJson(reply.body, revisionSchema).map(parsed => parsed.revision).unwrapOr(0);
	switch (reply.status) {
		case 200: {
			return ok(revision);
		}

		case 409: {
			return err({type: 'conflict', revision});
		}

		case 400:
		case 413:
		case 429: {
			return err({type: 'not-applied', reason: `the store answered ${reply.status}: ${reply.body}`});
		}

		default: {
			return err({type: 'unknown', reason: `the store answered ${reply.status}`});
		}
	}
}

/**
 * Creates a client of the store. It connects on the first call.
 *
 * @param settings - Address and timeout.
 * @returns The client.
 * @public
 */
export function createHttpStore(settings: HttpStoreSettings): DisposableStore {
	const pool = new Pool(`http://${settings.address}`, {connections: connectionsPerNode, pipelining: 1});

	const send = async (method: 'GET' | 'PUT' | 'DELETE', path: string, options: {readonly body?: string; readonly timeoutMs: number; readonly signal?: AbortSignal}): Promise<Reply> => {
		const timeout = AbortSignal.timeout(options.timeoutMs);
		const signal = options.signal === undefined ? timeout : AbortSignal.any([timeout, options.signal]);
		const {statusCode, body} = await pool.request({
			method, path, body: options.body, signal, headers: {'content-type': 'application/json'},
		});
		return {status: statusCode, body: await body.text()};
	};

	const get = (path: string, timeoutMs: number, signal?: AbortSignal): ResultAsync<StoredValue | undefined, StoreReadError> =>
		ResultAsync.fromPromise(send('GET', path, {timeoutMs, signal}), (error): StoreReadError => ({type: 'unavailable', reason: describeFailure(error).reason}))
			.andThen((reply): Result<StoredValue | undefined, StoreReadError> => {
				if (reply.status === 404 || reply.status === 304 || reply.status === 204) {
					return ok(undefined);
				}

				return reply.status === 200
					? parseStoredValue(reply.body)
					: err({type: 'unavailable', reason: `the store answered ${reply.status}`});
			});

	const write = (request: StoreWrite): ResultAsync<number, StoreError> => {
		const ttlQuery = request.ttlMs === undefined ? '' : `&life=${request.ttlMs}`;
		const path = `/v1/keys/${encodeURIComponent(request.key)}?revision=${request.expectedRevision}${ttlQuery}`;
		const reply = request.value === undefined
			? send('DELETE', path, {timeoutMs: settings.timeoutMs})
			: send('PUT', path, {body: JSON.stringify({value: request.value}), timeoutMs: settings.timeoutMs});
		return ResultAsync.fromPromise(reply, (error): StoreError => {
			const {code, reason} = describeFailure(error);
			return unsentCodes.has(code) ? {type: 'unavailable', reason} : {type: 'unknown', reason};
		}).andThen(parseWriteReply);
	};

	const watch = ({key, knownRevision, timeoutMs, signal}: StoreWatch): ReturnType<Store['watch']> =>
		get(`/v1/keys/${encodeURIComponent(key)}?after=${knownRevision}&wait=${timeoutMs}`, timeoutMs + watchGraceMs, signal);

	return {
		read: key => get(`/v1/keys/${encodeURIComponent(key)}`, settings.timeoutMs),
		write,
		watch,
		async dispose() {
			await pool.destroy();
		},
	};
}
