/**
 * How a stand-in for a backend server responds to a request, well or with a fault.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';

/** How the server handles a request. */
export type PlatformServerBehaviour =
	/** Runs the request and responds with status 200. */
	| 'answer'
	/** Runs the request and responds with status 200, without the body of the request. */
	| 'brief'
	/** Runs the request and closes the connection without a response. */
	| 'lose'
	/** Sends fewer body bytes than its `Content-Length` says, then closes the connection. */
	| 'truncate'
	/** Responds with the attempt id of another request. */
	| 'foreign'
	/** Sends the same response a second time. */
	| 'extra'
	/** Sends neither `Content-Length` nor chunks; the closed connection ends the body. */
	| 'unframed'
	/** Like `unframed`, but resets the connection a moment after the complete body. */
	| 'unframed-reset'
	/** Like `unframed`, but resets the connection right after the first bytes of the body. */
	| 'unframed-cut'
	/** Rejects the request with status 503 and states that it was not executed. */
	| 'shed'
	/** Runs the request and responds with status 500. */
	| 'fail'
	/** Runs the request and responds with status 200, without a signature. */
	| 'unsigned'
	/** Runs the request and sends bytes that are not HTTP. */
	| 'garbage'
	/** Runs the request and responds before it has read the body. */
	| 'early'
	/** Runs the request and never responds. */
	| 'hang';

/** A request, and what its response contains. */
export type Responder = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Body of the response. */
	readonly body: string;
	/** Headers of all responses, by name. */
	readonly notices: ReadonlyMap<string, string>;
};

const createSignature = (id: string, body: string): string => `sig.${id}.${body.length}`;

/** Returns a header of a request; empty if it has none. */
export const getHeader = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? '');

function sendResponse({request, response, body, notices}: Responder, status: number, text = body): void {
	const call = getHeader(request, 'stonemoor-attempt-id');
	response.writeHead(status, {
		...Object.fromEntries(notices),
		'content-length': Buffer.byteLength(text), 'stonemoor-attempt-id': call, 'stonemoor-response-signature': createSignature(call, text),
	});
	response.end(text);
}

/**
 * Responds to a request as a behaviour says.
 *
 * @param behaviour - The behaviour.
 * @param responder - The request, and what the response contains.
 */
export function applyBehaviour(behaviour: PlatformServerBehaviour, responder: Responder): void {
	const {request, response, body, notices} = responder;
	const {socket} = request;
	const call = getHeader(request, 'stonemoor-attempt-id');
	const noticeLines = [...notices].map(([name, value]) => `${name}: ${value}\r\n`).join('');
	const head = `HTTP/1.1 200 OK\r\n${noticeLines}Stonemoor-Attempt-Id: ${call}\r\nStonemoor-Response-Signature: ${createSignature(call, body)}\r\n`;
	switch (behaviour) {
		case 'answer':
		case 'early': {
			sendResponse(responder, 200);
			break;
		}

		case 'brief': {
			sendResponse(responder, 200, 'done');
			break;
		}

		case 'lose': {
			socket.destroy();
			break;
		}

		case 'truncate': {
			socket.end(`${head}Content-Length: ${body.length + 10}\r\n\r\n${body}`);
			break;
		}

		case 'foreign': {
			socket.write('HTTP/1.1 200 OK\r\nStonemoor-Attempt-Id: other\r\nStonemoor-Response-Signature: x\r\nContent-Length: 5\r\n\r\nother');
			break;
		}

		case 'extra': {
			socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
			setTimeout(() => {
				socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
			}, 5);
			break;
		}

		case 'unframed': {
			socket.end(`${head}\r\n${body}`);
			break;
		}

		case 'unframed-reset': {
			socket.write(`${head}\r\n${body}`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
			break;
		}

		case 'unframed-cut': {
			socket.write(`${head}\r\n${body.slice(0, 3)}`);
			socket.resetAndDestroy();
			break;
		}

		case 'shed': {
			response.writeHead(503, {
				...Object.fromEntries(notices), 'content-length': 0, 'stonemoor-attempt-id': call, 'stonemoor-not-executed': '1',
			});
			response.end();
			break;
		}

		case 'fail': {
			sendResponse(responder, 500, 'failed');
			break;
		}

		case 'unsigned': {
			response.writeHead(200, {'content-length': Buffer.byteLength(body), 'stonemoor-attempt-id': call});
			response.end(body);
			break;
		}

		case 'garbage': {
			socket.end('what is this?\r\n\r\n');
			break;
		}

		case 'hang': {
			break;
		}
	}
}
