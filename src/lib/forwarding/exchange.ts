/**
 * Sends one request to the backend server over a pooled connection and reads the complete response.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {encodeRequestHead, type RequestHead} from './encode-request-head.js';
import {createOwnResponseReader, type OwnResponseReader} from './own-response-reader.js';
import {type CompleteResponse} from './response-parser.js';
import {type CallScope, type ScopeEndReason} from './call-scope.js';
import {type ResponseMemory} from './response-memory.js';
import {type ServerConnection, type ServerConnectionPool} from './server-connection-pool.js';

/** What happens to the connection of a request whose caller has left. @internal */
export type LateResponseHandlers = {
	/** Called when the caller has left. Returns how long the connection stays open for the response, in milliseconds; `undefined` to close it. */
	readonly computeWaitMs: () => number | undefined;
	/** Called once with the end of the request if the connection stayed open. */
	readonly handleEnd: (result: ExchangeResult) => void;
};

/** A request to the backend server. @internal */
export type ExchangeRequest = RequestHead & {
	readonly pool: ServerConnectionPool;
	readonly id: string;
	readonly scope: CallScope;
	/** The memory that the response counts against; not counted if omitted. */
	readonly memory?: ResponseMemory;
	/** Lower-case name of the header that holds the id in a response. */
	readonly idHeader: string;
	/** Whether a response belongs to this request. Anything else is skipped. `isFirst` tells whether nothing was sent or received on the connection before. */
	readonly isOwnResponse: (headers: IncomingHttpHeaders, status: number, isFirst: boolean) => boolean;
	/** Called at the end of the exchange with the number of bytes that were not of the response, if there were any. */
	readonly handleOtherBytes?: (bytes: number, isAnswered: boolean) => void;
	/** Called with the headers of the response before its body has arrived. */
	readonly handleHead?: (headers: IncomingHttpHeaders) => void;
	/** Registers a callback that ends the exchange because the server will not respond to it. */
	readonly listenForHang?: (handleHang: (detail: string) => void) => void;
	/** Without it, the connection is closed as soon as the caller has left. */
	readonly lateResponse?: LateResponseHandlers;
};

/** The complete response. @internal */
export type ExchangeResponse = {
	readonly type: 'answered';
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** @internal */
export type ExchangeFailure = {
	readonly type: 'failed';
	/** Whether any byte of the request may have reached the server. */
	readonly isSent: boolean;
	readonly reason: 'unreachable' | 'connection-lost' | 'hung' | ScopeEndReason;
	readonly detail: string;
};

/** @internal */
export type ExchangeResult = ExchangeResponse | ExchangeFailure;

/** Share of the server's keep-alive timeout for which an idle connection is reused. The margin keeps a request from racing with the server's close. */
const idleTimeoutShare = 0.6;

/** Returns the idle time in milliseconds within which a connection may be reused, derived from the server's Keep-Alive header; infinity without that header. */
function readKeepAliveMs(headers: IncomingHttpHeaders): number {
	const value = headers['keep-alive'];
	const seconds = /timeout=(\d+)/.exec(typeof value === 'string' ? value : '')?.[1];
	return seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * 1000 * idleTimeoutShare;
}

/**
 * Sends a request and reads the complete response.
 *
 * @param exchange - The request.
 * @returns The response, or the failure; never rejects. A request whose caller has left fails immediately, also if its connection stays open.
 * @internal
 */
export async function runExchange(exchange: ExchangeRequest): Promise<ExchangeResult> {
	return new Promise(resolve => {
		let connection: ServerConnection | undefined;
		/** `undefined` until the request has a connection. */
		let reader: OwnResponseReader | undefined;
		let isSettled = false;
		let isHeadHandled = false;
		// A no-op at first: a scope that has already ended calls its handler before subscribe returns.
		let stopListening = (): void => undefined;
		/** Whether the caller has left and the connection is open for the response. */
		let isLate = false;
		let lateTimer: NodeJS.Timeout | undefined;

		const settle = (result: ExchangeResult): void => {
			isSettled = true;
			if (account !== undefined) {
				exchange.memory?.close(account);
			}

			stopListening();
			const otherBytes = reader?.countOtherBytes() ?? 0;
			if (otherBytes > 0) {
				exchange.handleOtherBytes?.(otherBytes, result.type === 'answered');
			}

			if (!isLate) {
				resolve(result);
				return;
			}

			clearTimeout(lateTimer);
			exchange.lateResponse?.handleEnd(result);
		};

		const fail = (reason: ExchangeFailure['reason'], detail: string): void => {
			if (isSettled) {
				return;
			}

			settle({
				type: 'failed', isSent: connection?.isConnected() ?? false, reason, detail,
			});
			connection?.destroy();
		};

		const account = exchange.memory?.open(() => {
			fail('connection-lost', 'the response takes too much memory');
		});

		/** Returns the connection to the pool only if nothing but the response arrived on it. */
		const finish = ({status, headers, body, isReusable}: CompleteResponse): void => {
			if (isSettled) {
				return;
			}

			settle({
				type: 'answered', status, headers, body,
			});
			if (isReusable && reader?.isExact()) {
				connection?.release(readKeepAliveMs(headers));
			} else {
				connection?.destroy();
			}
		};

		const countHeldBytes = (length: number): void => {
			if (account !== undefined) {
				exchange.memory?.add(account, length);
			}
		};

		/** Reads bytes of the connection. Only the bytes of the response are held. */
		const readBytes = (current: OwnResponseReader, bytes: Uint8Array): void => {
			const response = current.read(bytes);
			const head = current.getHead();
			if (head === undefined) {
				return;
			}

			if (!isHeadHandled) {
				isHeadHandled = true;
				exchange.handleHead?.(head.headers);
			}

			countHeldBytes(bytes.length);
			if (response !== undefined) {
				finish(response);
			}
		};

		const handleBytes = (bytes: Uint8Array): void => {
			if (reader === undefined || isSettled) {
				return;
			}

			try {
				readBytes(reader, bytes);
			} catch (error) {
				fail('connection-lost', (error as Error).message);
			}
		};

		/**
		 * A response without a length ends when the connection closes. A reset that directly follows the last bytes looks like
		 * an orderly close, because the event loop reports the hang-up as soon as the bytes are read. A write fails only after
		 * a reset, which distinguishes the two cases.
		 */
		const handleEnd = (): void => {
			if (isSettled) {
				return;
			}

			if (!reader?.isCloseDelimited()) {
				fail('connection-lost', reader?.getHead() === undefined ? 'connection closed before the response' : 'connection closed before the end of the response');
				return;
			}

			connection?.checkOrderlyEnd(isOrderly => {
				const response = isOrderly ? reader?.end() : undefined;
				if (response === undefined) {
					fail('connection-lost', 'connection reset during a response without a length');
				} else {
					finish(response);
				}
			});
		};

		/** Fails the request whose caller has left, and keeps its connection open for the response. Returns whether it does. */
		const waitForLateResponse = (reason: ScopeEndReason, detail: string): boolean => {
			const waitMs = connection?.isConnected() ? exchange.lateResponse?.computeWaitMs() : undefined;
			if (waitMs === undefined) {
				return false;
			}

			isLate = true;
			lateTimer = setTimeout(() => {
				fail(reason, detail);
			}, waitMs);
			resolve({
				type: 'failed', isSent: true, reason, detail,
			});
			return true;
		};

		const start = async (): Promise<void> => {
			try {
				const head = encodeRequestHead(exchange);
				connection = await exchange.pool.acquire({
					handleBytes,
					handleEnd,
					handleClosed(reason) {
						fail(connection?.isConnected() ? 'connection-lost' : 'unreachable', reason);
					},
				});
				if (isSettled) {
					connection.destroy();
					return;
				}

				if (account !== undefined) {
					account.connection = connection;
				}

				reader = createOwnResponseReader({
					id: exchange.id, idHeader: exchange.idHeader, method: exchange.method, isOwnResponse: exchange.isOwnResponse, isFirstRequest: connection.isFirstRequest,
				});
				connection.write(head, exchange.body);
			} catch (error) {
				fail('cancelled', (error as Error).message);
			}
		};

		stopListening = exchange.scope.subscribe(reason => {
			if (reason === 'timeout' || reason === 'stopping') {
				fail(reason, reason === 'timeout' ? 'no response before the deadline' : 'no response before this node had to stop');
			} else if (!waitForLateResponse(reason, 'call was cancelled')) {
				fail(reason, 'call was cancelled');
			}
		});
		if (!isSettled) {
			exchange.listenForHang?.(detail => {
				fail('hung', detail);
			});
			void start();
		}
	});
}
