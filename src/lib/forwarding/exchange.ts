/**
 * One request and its whole answer over one connection to the backend server.
 *
 * @module
 */
import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {createResponseParser, type CompleteResponse} from './response-parser.js';
import {type CallScope, type ScopeEnd} from './call-scope.js';
import {type AssignedCall, type ServerConnection, type ServerConnectionPool} from './server-connection-pool.js';

/** What is sent. @internal */
export type ExchangeRequest = {
	readonly pool: ServerConnectionPool;
	readonly id: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Uint8Array | undefined;
	readonly scope: CallScope;
	/** Checks whether an answer is to this request; any other one is dropped with its connection, unless it is a second one to the request before. */
	readonly isOwnResponse: (headers: IncomingHttpHeaders, status: number) => boolean;
	/** Which request an answer names. */
	readonly readCallId: (headers: IncomingHttpHeaders) => string | undefined;
};

/** The whole answer. @internal */
export type ExchangeResponse = {
	readonly type: 'answered';
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** @internal */
export type ExchangeFailure = {
	readonly type: 'failed';
	/** Whether a byte of the request may have arrived. */
	readonly isSent: boolean;
	readonly reason: 'unreachable' | 'connection-lost' | 'wrong-answer' | ScopeEnd;
	readonly detail: string;
};

/** @internal */
export type ExchangeResult = ExchangeResponse | ExchangeFailure;

/** Share of the idle time that the server allows after which a connection is not used again: a request must not cross its close. */
const idleTimeoutShare = 0.6;

/** Methods whose requests usually have no body, so that none need be announced as empty. */
const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

/** What would end a line of the head, or the head itself. */
const lineBreakPattern = /[\r\n\0]/;

/** What may stand in the first line: anything else would end it, or split it. */
const targetPattern = /^[\u0021-\u00FF]+$/;

const methodPattern = /^[\w!#$%&'*+.^`|~-]+$/;

function encodeField(name: string, value: number | string | readonly string[]): string {
	if (typeof value === 'object') {
		return value.map(item => encodeField(name, item)).join('');
	}

	if (lineBreakPattern.test(name) || lineBreakPattern.test(String(value))) {
		throw new Error(`the field ${JSON.stringify(name)} cannot be written as one line`);
	}

	return `${name}: ${value}\r\n`;
}

/**
 * Encodes the head of a request.
 *
 * @param request - The request.
 * @returns Its text, in Latin-1.
 * @throws When a part of it would be read as something else.
 * @internal
 */
export function encodeRequestHead({method, target, headers, body}: Pick<ExchangeRequest, 'method' | 'target' | 'headers' | 'body'>): string {
	let fields = '';
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined) {
			fields += encodeField(name, value);
		}
	}

	const isEmpty = body === undefined && !bodilessMethods.has(method) && headers['content-length'] === undefined;
	const own = `${isEmpty ? 'content-length: 0\r\n' : ''}connection: keep-alive\r\n`;
	if (!methodPattern.test(method) || !targetPattern.test(target)) {
		throw new Error('the method or the path cannot be written as a part of one line');
	}

	return `${method} ${target} HTTP/1.1\r\n${fields}${own}\r\n`;
}

/** How long the server says that it keeps a connection, in milliseconds. */
function readKeepAliveMs(headers: IncomingHttpHeaders): number {
	const value = headers['keep-alive'];
	const seconds = /timeout=(\d+)/.exec(typeof value === 'string' ? value : '')?.[1];
	return seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * 1000 * idleTimeoutShare;
}

/**
 * Sends a request and reads its answer whole.
 *
 * @param exchange - The request.
 * @returns The answer, or how it failed; never rejects.
 * @internal
 */
export async function runExchange(exchange: ExchangeRequest): Promise<ExchangeResult> {
	return new Promise(resolve => {
		let parser = createResponseParser(exchange.method);
		let connection: ServerConnection | undefined;
		let previousCall: AssignedCall | undefined;
		let isSettled = false;
		let isHeadChecked = false;
		/** What is read is a second answer to the request before on the connection. */
		let isDuplicate = false;
		// A scope that has ended already calls back before it can be unsubscribed from.
		let stopListening = (): void => undefined;

		const settle = (result: ExchangeResult): void => {
			isSettled = true;
			stopListening();
			resolve(result);
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

		/** The connection goes on to the next request only if nothing of this one is left on it. */
		const finish = ({isReusable, ...response}: CompleteResponse): void => {
			if (isSettled) {
				return;
			}

			settle({type: 'answered', ...response});
			if (isReusable && !parser.hasExcessBytes()) {
				connection?.release(readKeepAliveMs(response.headers));
			} else {
				connection?.destroy();
			}
		};

		/** A server may answer the request before once more, where the answer to this one is due: its end is known, and that to this one still comes. */
		const isDuplicateResponse = (headers: IncomingHttpHeaders): boolean =>
			previousCall?.method === exchange.method && exchange.readCallId(headers) === previousCall.id && !parser.isCloseDelimited();

		const checkHead = (): boolean => {
			const head = parser.getHead();
			if (head === undefined || isHeadChecked) {
				return true;
			}

			isHeadChecked = true;
			if (exchange.isOwnResponse(head.headers, head.status)) {
				return true;
			}

			isDuplicate = isDuplicateResponse(head.headers);
			if (isDuplicate) {
				return true;
			}

			fail('wrong-answer', `an answer with status ${head.status} to another request`);
			return false;
		};

		/** Reads on behind an answer that is passed over; yields the bytes that came behind it. */
		const dropDuplicateResponse = ({isReusable}: CompleteResponse): Uint8Array | undefined => {
			if (!isReusable) {
				fail('connection-lost', 'the connection closes behind a second answer to the request before');
				return undefined;
			}

			const excess = parser.takeExcessBytes();
			parser = createResponseParser(exchange.method);
			isHeadChecked = false;
			isDuplicate = false;
			return excess.length > 0 ? excess : undefined;
		};

		/** Reads bytes; yields those that are left when an answer was passed over. */
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
		 * Without a length the end of the connection is the end of the answer, but a reset that follows the last bytes at once
		 * reaches this program as an ordinary end: the event loop reports the hang-up as soon as the bytes are read. Only a
		 * write tells the two apart.
		 */
		const handleEnd = (): void => {
			if (isSettled) {
				return;
			}

			if (!parser.isCloseDelimited()) {
				fail('connection-lost', parser.getHead() === undefined ? 'the connection closed without an answer' : 'the connection closed within the answer');
				return;
			}

			connection?.checkOrderlyEnd(isOrderly => {
				const response = isOrderly ? parser.end() : undefined;
				if (response === undefined) {
					fail('connection-lost', 'the connection was reset within an answer without a length');
				} else {
					finish(response);
				}
			});
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

				previousCall = connection.startCall({id: exchange.id, method: exchange.method});
				connection.write(head, exchange.body);
			} catch (error) {
				fail('cancelled', (error as Error).message);
			}
		};

		stopListening = exchange.scope.subscribe(reason => {
			fail(reason, reason === 'timeout' ? 'no answer in time' : 'the caller has gone');
		});
		if (!isSettled) {
			void start();
		}
	});
}
