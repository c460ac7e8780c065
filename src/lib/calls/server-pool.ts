/**
 * The HTTP client's pool of connections to a backend server, on which each request gets no other response than its own.
 *
 * @module
 */
import {type Socket} from 'node:net';
import {
	buildConnector, Client, Pool, type Dispatcher,
} from 'undici';
import {toCallId, type Address, type CallId} from '../common/ids.js';
import {getHeader, meshHeaders} from './headers.js';
import {
	createResponseFilter, type OtherBytesHandler, type ResponseFilter, type ServerTraits,
} from './response-filter.js';
import {type HeaderMap} from './attempt.js';

/** @internal */
export type ServerPool = {
	readonly pool: Pool;
	/** Whether the connection of the next request can be kept. It is closed by the server otherwise, which is asked to. */
	readonly mayKeepConnection: () => boolean;
};

/** One connection of the pool, with one request at a time. Announces each request before it is sent. */
class FilteredClient extends Client {
	readonly #handleDispatch: (call: CallId) => void;

	constructor(origin: URL, options: Client.Options, handleOtherBytes: OtherBytesHandler, traits: ServerTraits) {
		const connect = options.connect as buildConnector.connector;
		let filter: ResponseFilter | undefined;
		let call: CallId | undefined;
		super(origin, {
			...options,
			connect(place, callback) {
				connect(place, (...result) => {
					const [error, socket] = result;
					if (error !== null) {
						callback(...result);
						return;
					}

					filter = createResponseFilter(socket, traits, handleOtherBytes);
					if (call !== undefined) {
						filter.expectResponse(call);
					}

					// The HTTP client uses it as a stream only.
					callback(null, filter.stream as Socket);
				});
			},
		});
		this.#handleDispatch = next => {
			call = next;
			filter?.expectResponse(next);
		};
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		this.#handleDispatch(toCallId(getHeader(options.headers as HeaderMap, meshHeaders.call) ?? ''));
		return super.dispatch(options, handler);
	}
}

/**
 * Creates the pool. No connection is made before the first request.
 *
 * @param address - Address of the server.
 * @param connections - The highest number of connections.
 * @param connectTimeoutMs - Connect timeout, in milliseconds.
 * @param handleOtherBytes - Called when the server has sent bytes that belong to no request.
 * @returns The pool. Its requests must have the id of their call in their headers.
 * @internal
 */
export function createServerPool(address: Address, connections: number, connectTimeoutMs: number, handleOtherBytes: OtherBytesHandler): ServerPool {
	const traits: ServerTraits = {namesCalls: false};
	const createClient = (origin: URL, options: Client.Options): Client => new FilteredClient(origin, options, handleOtherBytes, traits);
	const pool = new Pool(`http://${address}`, {
		connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: buildConnector({timeout: connectTimeoutMs}),
		factory: createClient,
	});
	return {pool, mayKeepConnection: () => traits.namesCalls};
}
