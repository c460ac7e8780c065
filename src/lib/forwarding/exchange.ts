/**
 * Sends one request to the backend server over a pooled connection and reads the complete response.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {encodeRequestHead, type RequestHead} from './encode-request-head.js';
import {createResponseParser, type CompleteResponse} from './response-parser.js';
import {type CallScope, type ScopeEndReason} from './call-scope.js';
import {type ResponseMemory} from './response-memory.js';
import {type AssignedCall, type ServerConnection, type ServerConnectionPool} from './server-connection-pool.js';

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
	/** Whether a response belongs to this request. Any other response closes its connection, unless it is a duplicate response to an earlier request of the connection. */
	readonly isOwnResponse: (headers: IncomingHttpHeaders, status: number) => boolean;
	/** Returns the call id that a response carries. */
	readonly readCallId: (headers: IncomingHttpHeaders) => string | undefined;
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
	readonly reason: 'unreachable' | 'connection-lost' | 'wrong-answer' | 'hung' | ScopeEndReason;
	readonly detail: string;
};

/** @internal */
export type ExchangeResult = ExchangeResponse | ExchangeFailure;

/** Share of the server's keep-alive timeout for which an idle connection is reused. The margin keeps a request from racing with the server's close. */
const idleTimeoutShare = 0.6;

/** Whether responses to a method have a body, which decides where they end. */
const hasResponseBody = (method: string): boolean => method !== 'HEAD';

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
		let parser = createResponseParser(exchange.method);
		let connection: ServerConnection | undefined;
		/** The latest requests of the connection, this one included. */
		let latestCalls: readonly AssignedCall[] = [];
		let isSettled = false;
		let isHeadChecked = false;
		/** Whether the response being read is a duplicate response to an earlier request of the connection. */
		let isDuplicate = false;
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

		/** Returns the connection to the pool only if no bytes follow the response. */
		const finish = ({status, headers, body, isReusable}: CompleteResponse): void => {
			if (isSettled) {
				return;
			}

			settle({
				type: 'answered', status, headers, body,
			});
			if (isReusable && !parser.hasExcessBytes()) {
				connection?.release(readKeepAliveMs(headers));
			} else {
				connection?.destroy();
			}
		};

		/** Whether the server answers an earlier request again instead of this one. Such a response is skipped if its end is known, since the response to this request still follows. */
		const isDuplicateResponse = (headers: IncomingHttpHeaders): boolean => {
			const callId = exchange.readCallId(headers);
			const earlier = latestCalls.find(({id}) => id === callId);
			return earlier !== undefined && hasResponseBody(earlier.method) === hasResponseBody(exchange.method) && !parser.isCloseDelimited();
		};

		const checkHead = (): boolean => {
			const head = parser.getHead();
			if (head === undefined || isHeadChecked) {
				return true;
			}

			isHeadChecked = true;
			if (exchange.isOwnResponse(head.headers, head.status)) {
				exchange.handleHead?.(head.headers);
				return true;
			}

			isDuplicate = isDuplicateResponse(head.headers);
			if (isDuplicate) {
				return true;
			}

			fail('wrong-answer', `response with status ${head.status} belongs to another request`);
			return false;
		};

		/** Skips a duplicate response and resets the parser. Returns the bytes that follow it. */
		const dropDuplicateResponse = ({isReusable}: CompleteResponse): Uint8Array | undefined => {
			if (!isReusable) {
				fail('connection-lost', 'server closes the connection after a duplicate response to an earlier request');
				return undefined;
			}

			const excess = parser.takeExcessBytes();
			parser = createResponseParser(exchange.method);
			isHeadChecked = false;
			isDuplicate = false;
			return excess.length > 0 ? excess : undefined;
		};

		/** Parses bytes. Returns the bytes that remain after a skipped duplicate response. */
		const readNextResponse = (bytes: Uint8Array): Uint8Array | undefined => {
			const response = parser.read(bytes);
			if (!checkHead() || response === undefined) {
				return undefined;
			}

			if (isDuplicate) {
				return dropDuplicateResponse(response);
			}

			finish(response);
			return undefined;
		};

		const handleBytes = (bytes: Uint8Array): void => {
			if (account !== undefined) {
				exchange.memory?.add(account, bytes.length);
			}

			try {
				let left: Uint8Array | undefined = bytes;
				while (left !== undefined && !isSettled) {
					left = readNextResponse(left);
				}
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

			if (!parser.isCloseDelimited()) {
				fail('connection-lost', parser.getHead() === undefined ? 'connection closed before the response' : 'connection closed before the end of the response');
				return;
			}

			connection?.checkOrderlyEnd(isOrderly => {
				const response = isOrderly ? parser.end() : undefined;
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

				latestCalls = connection.startCall({id: exchange.id, method: exchange.method});
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
