/**
 * One request and its whole answer over one connection.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	request as openRequest, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage, type OutgoingHttpHeaders,
} from 'node:http';
import {type Socket} from 'node:net';
import {parseAddress} from '../common/address.js';
import {type Address} from '../common/ids.js';
import {type CallScope, type ScopeEnd} from './call-scope.js';
import {type HopAgent} from './hop-agent.js';

/** What is sent. @internal */
export type ExchangeRequest = {
	readonly agent: HopAgent;
	readonly address: Address;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Uint8Array | undefined;
	/** Sends the body only once the other side asks for it. */
	readonly mustAskFirst: boolean;
	readonly scope: CallScope;
	/** Milliseconds until a new connection must be up. */
	readonly connectMs: number;
	/** Checks whether an answer is to this request; any other one is dropped with its connection. */
	readonly isOwnAnswer: (headers: IncomingHttpHeaders, status: number) => boolean;
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
	/** Whether a byte of the request may have arrived; with `mustAskFirst`, whether its body may have. */
	readonly isSent: boolean;
	readonly reason: 'unreachable' | 'connection-lost' | 'wrong-answer' | ScopeEnd;
	readonly detail: string;
};

/** @internal */
export type ExchangeResult = ExchangeAnswer | ExchangeFailure;

type Progress = {
	isConnected: boolean;
	isSent: boolean;
};

function watchConnecting(outgoing: ClientRequest, socket: Socket, connectMs: number, handleConnected: () => void): void {
	if (!socket.connecting) {
		handleConnected();
		return;
	}

	const timer = setTimeout(() => {
		outgoing.destroy(new Error(`no connection within ${connectMs} ms`));
	}, connectMs);
	socket.once('connect', () => {
		clearTimeout(timer);
		handleConnected();
	});
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/** Statuses whose answers have no body, and need no length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether only the end of the connection tells where an answer ends. */
function isUnframed(incoming: IncomingMessage, method: string): boolean {
	const {headers, statusCode = 0} = incoming;
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined && method !== 'HEAD' && !bodilessStatuses.has(statusCode);
}

/**
 * Finds out whether a connection that has ended was reset. A reset that follows
 * the last bytes at once reaches this program as an ordinary end: the event loop
 * reports the hang-up as soon as the bytes are read. Only a write tells the two
 * apart. It sends an empty line, which no server takes for a request, to a peer
 * that has closed.
 */
async function checkOrderlyEnd(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		// Before Node.js closes its own half, after which nothing can be written.
		socket.prependOnceListener('end', () => {
			socket.write('\r\n', error => {
				resolve(error === null || error === undefined);
			});
		});
		socket.once('close', () => {
			resolve(false);
		});
	});
}

function collectBody(incoming: IncomingMessage, handleWhole: (body: Uint8Array) => Promise<void>, handleCut: (detail: string) => void): void {
	const chunks: Uint8Array[] = [];
	incoming.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	let hasEnded = false;
	incoming.once('end', () => {
		hasEnded = true;
		if (incoming.complete) {
			void handleWhole(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
		} else {
			handleCut('the answer ended early');
		}
	});
	incoming.once('error', error => {
		handleCut(error.message);
	});
	incoming.once('close', () => {
		if (!hasEnded) {
			handleCut('the connection closed within the answer');
		}
	});
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
		const {host, port} = parseAddress(exchange.address);
		const progress: Progress = {isConnected: false, isSent: false};
		let isSettled = false;
		let hasAnswer = false;
		// A scope that has ended already calls back before it can be unsubscribed from.
		let stopListening = (): void => undefined;

		const settle = (result: ExchangeResult): void => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			stopListening();
			resolve(result);
		};

		const fail = (reason: ExchangeFailure['reason'], detail: string): void => {
			settle({
				type: 'failed', isSent: progress.isSent, reason, detail,
			});
		};

		const outgoing = openRequest({
			agent: exchange.agent, host, port, method: exchange.method, path: exchange.target, headers: exchange.headers, setHost: false,
		});

		const sendBody = (): void => {
			progress.isSent = true;
			outgoing.end(exchange.body);
		};

		outgoing.once('socket', socket => {
			watchConnecting(outgoing, socket, exchange.connectMs, () => {
				progress.isConnected = true;
				// Without the question first, the request itself leaves with the connection.
				progress.isSent ||= !exchange.mustAskFirst;
			});
		});
		outgoing.on('error', error => {
			fail(progress.isConnected ? 'connection-lost' : 'unreachable', error.message);
		});
		outgoing.once('close', () => {
			// An answer that has begun is judged by its own end.
			if (!hasAnswer) {
				fail('connection-lost', 'the connection closed without an answer');
			}
		});
		outgoing.once('response', incoming => {
			hasAnswer = true;
			const status = incoming.statusCode ?? 0;
			if (!exchange.isOwnAnswer(incoming.headers, status)) {
				fail('wrong-answer', `an answer with status ${status} to another request`);
				outgoing.destroy();
				return;
			}

			const isWhole = isUnframed(incoming, exchange.method) ? checkOrderlyEnd(incoming.socket) : undefined;
			collectBody(incoming, async body => {
				if (isWhole !== undefined && !(await isWhole)) {
					fail('connection-lost', 'the connection was reset within an answer without a length');
					return;
				}

				settle({
					type: 'answered', status, headers: incoming.headers, body,
				});
				if (exchange.mustAskFirst && !progress.isSent) {
					// The body was announced and never sent: nothing else may follow on this connection.
					outgoing.destroy();
				}
			}, detail => {
				fail('connection-lost', detail);
				outgoing.destroy();
			});
		});

		stopListening = exchange.scope.subscribe(reason => {
			fail(reason, reason === 'timeout' ? 'no answer in time' : 'the caller has gone');
			outgoing.destroy();
		});

		if (exchange.mustAskFirst) {
			outgoing.once('continue', sendBody);
			outgoing.flushHeaders();
		} else {
			outgoing.end(exchange.body);
		}
	});
}
