/**
 * One request and its whole answer over one connection to the backend server.
 *
 * @module
 */
import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {createAnswerReader, type WholeAnswer} from './answer-reader.js';
import {type CallScope, type ScopeEndReason} from './call-scope.js';
import {type CarriedCall, type ServerConnection, type ServerConnections} from './server-connections.js';

/** What is sent. @internal */
export type ExchangeRequest = {
	readonly connections: ServerConnections;
	readonly id: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Uint8Array | undefined;
	readonly scope: CallScope;
	/** Checks whether an answer is to this request; any other one is dropped with its connection, unless it is a second one to the request before. */
	readonly isOwnAnswer: (headers: IncomingHttpHeaders, status: number) => boolean;
	/** Which request an answer names. */
	readonly readCallId: (headers: IncomingHttpHeaders) => string | undefined;
};

/** The whole answer. @internal */
export type ExchangeAnswer = {
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
	readonly reason: 'unreachable' | 'connection-lost' | 'wrong-answer' | ScopeEndReason;
	readonly detail: string;
};

/** @internal */
export type ExchangeResult = ExchangeAnswer | ExchangeFailure;

/** Share of the idle time that the server allows after which a connection is not used again: a request must not cross its close. */
const idleShare = 0.6;

/** Methods whose requests usually have no body, so that none need be announced as empty. */
const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

/** What would end a line of the head, or the head itself. */
const lineBreaks = /[\r\n\0]/;

/** What may stand in the first line: anything else would end it, or split it. */
const targetText = /^[\u0021-\u00FF]+$/;

const methodText = /^[\w!#$%&'*+.^`|~-]+$/;

function encodeField(name: string, value: number | string | readonly string[]): string {
	if (typeof value === 'object') {
		return value.map(one => encodeField(name, one)).join('');
	}

	if (lineBreaks.test(name) || lineBreaks.test(String(value))) {
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
	if (!methodText.test(method) || !targetText.test(target)) {
		throw new Error('the method or the path cannot be written as a part of one line');
	}

	return `${method} ${target} HTTP/1.1\r\n${fields}${own}\r\n`;
}

/** How long the server says that it keeps a connection, in milliseconds. */
function readIdleHint(headers: IncomingHttpHeaders): number {
	const value = headers['keep-alive'];
	const seconds = /timeout=(\d+)/.exec(typeof value === 'string' ? value : '')?.[1];
	return seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * 1000 * idleShare;
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
		let reader = createAnswerReader(exchange.method);
		let connection: ServerConnection | undefined;
		let callBefore: CarriedCall | undefined;
		let isSettled = false;
		let isChecked = false;
		/** What is read is a second answer to the request before on the connection. */
		let isPassedOver = false;
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
		const finish = ({isKept, ...answer}: WholeAnswer): void => {
			if (isSettled) {
				return;
			}

			settle({type: 'answered', ...answer});
			if (isKept && !reader.hasExtra()) {
				connection?.release(readIdleHint(answer.headers));
			} else {
				connection?.destroy();
			}
		};

		/** A server may answer the request before once more, where the answer to this one is due: its end is known, and that to this one still comes. */
		const isSecondAnswer = (headers: IncomingHttpHeaders): boolean =>
			callBefore?.method === exchange.method && exchange.readCallId(headers) === callBefore.id && !reader.isUnframed();

		const checkOwner = (): boolean => {
			const head = reader.getHead();
			if (head === undefined || isChecked) {
				return true;
			}

			isChecked = true;
			if (exchange.isOwnAnswer(head.headers, head.status)) {
				return true;
			}

			isPassedOver = isSecondAnswer(head.headers);
			if (isPassedOver) {
				return true;
			}

			fail('wrong-answer', `an answer with status ${head.status} to another request`);
			return false;
		};

		/** Reads on behind an answer that is passed over; yields the bytes that came behind it. */
		const dropSecondAnswer = ({isKept}: WholeAnswer): Uint8Array | undefined => {
			if (!isKept) {
				fail('connection-lost', 'the connection closes behind a second answer to the request before');
				return undefined;
			}

			const extra = reader.takeExtra();
			reader = createAnswerReader(exchange.method);
			isChecked = false;
			isPassedOver = false;
			return extra.length > 0 ? extra : undefined;
		};

		/** Reads bytes; yields those that are left when an answer was passed over. */
		const readPart = (bytes: Uint8Array): Uint8Array | undefined => {
			const answer = reader.read(bytes);
			if (!checkOwner() || answer === undefined) {
				return undefined;
			}

			if (isPassedOver) {
				return dropSecondAnswer(answer);
			}

			finish(answer);
			return undefined;
		};

		const handleBytes = (bytes: Uint8Array): void => {
			try {
				let left: Uint8Array | undefined = bytes;
				while (left !== undefined && !isSettled) {
					left = readPart(left);
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

			if (!reader.isUnframed()) {
				fail('connection-lost', reader.getHead() === undefined ? 'the connection closed without an answer' : 'the connection closed within the answer');
				return;
			}

			connection?.probeEnd(isOrderly => {
				const answer = isOrderly ? reader.end() : undefined;
				if (answer === undefined) {
					fail('connection-lost', 'the connection was reset within an answer without a length');
				} else {
					finish(answer);
				}
			});
		};

		const start = async (): Promise<void> => {
			try {
				const head = encodeRequestHead(exchange);
				connection = await exchange.connections.take({
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

				callBefore = connection.begin({id: exchange.id, method: exchange.method});
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
