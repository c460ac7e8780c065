/**
 * Accepts calls from other nodes for the backend servers beside this node.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {pipeline} from 'node:stream';
import {readNow} from '../common/clock.js';
import {toBackendServerId, toCallId, type BackendServerId} from '../common/ids.js';
import {type WorkClass} from '../policy/decision.js';
import {createLazyFingerprintOfDigest, type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {readServerLimit} from '../server-notices/server-notice.js';
import {type LamportClock} from '../timeline/lamport-clock.js';
import {type Attempt, type AttemptResult, type FailedAttempt} from './attempt.js';
import {createCallSignals, type CallSignals} from './call-signal.js';
import {
	filterForwardableHeaders, getHeader, getNumberHeader, meshHeaders, noticeHeaders, timeoutHeader, toOutgoingHeaders,
} from './headers.js';
import {type LocalServers} from './local-servers.js';

/** Path of slot reservations; they are never forwarded to a backend server. @internal */
export const reservePath = '/stonemoor/reserve';

/** Timeout of a request without a timeout header. Nodes of the mesh always send one. */
const defaultTimeoutMs = 10_000;

/** Idle timeout of connections from other nodes. It is longer than the idle timeout of the senders, so the senders close idle connections first. */
const keepAliveMs = 20_000;

type GateCall = {
	readonly server: BackendServerId;
	readonly attempt: Attempt;
};

function readWorkClass(request: IncomingMessage): WorkClass {
	return getHeader(request.headers, meshHeaders.workClass) === 'bulk' ? 'bulk' : 'interactive';
}

function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || (getNumberHeader(request.headers, 'content-length') ?? 0) > 0;
}

/** Returns the fingerprint of a request, or `undefined` if it has a body without a digest. The gate receives the body as a stream, so it uses the digest that the entry sent. */
function readFingerprint(request: IncomingMessage): LazyFingerprint | undefined {
	const digest = getHeader(request.headers, meshHeaders.bodyDigest);
	if (digest === undefined && hasBody(request)) {
		return undefined;
	}

	const {method = 'GET', url: target = '/'} = request;
	return createLazyFingerprintOfDigest({method, host: getHeader(request.headers, meshHeaders.routedHost) ?? '', target}, digest);
}

function readCall(request: IncomingMessage, response: ServerResponse, signals: CallSignals): GateCall {
	const timeoutMs = getNumberHeader(request.headers, timeoutHeader) ?? defaultTimeoutMs;
	return {
		server: toBackendServerId(getHeader(request.headers, meshHeaders.server) ?? ''),
		attempt: {
			call: toCallId(getHeader(request.headers, meshHeaders.call) ?? ''),
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			headers: filterForwardableHeaders(request.headers),
			body: hasBody(request) ? request : undefined,
			workClass: readWorkClass(request),
			deadline: readNow() + timeoutMs,
			signal: signals.create(response, timeoutMs),
			ticket: getHeader(request.headers, meshHeaders.ticket),
			fingerprint: readFingerprint(request),
			entry: getHeader(request.headers, meshHeaders.entry) ?? '',
			// The entry is a node of the mesh. If its header cannot be read, the server names its limit in its next response.
			limitPerSecond: readServerLimit(request.headers, {...noticeHeaders, serverLimit: meshHeaders.knownLimit}).unwrapOr(undefined),
		},
	};
}

function sendFailure(response: ServerResponse, call: string, failure: FailedAttempt): void {
	if (response.destroyed) {
		return;
	}

	response.writeHead(503, {
		'content-length': 0,
		[meshHeaders.answeredBy]: 'gate',
		[meshHeaders.call]: call,
		[meshHeaders.verdict]: failure.verdict,
		[meshHeaders.reason]: failure.reason,
		[meshHeaders.detail]: encodeURIComponent(failure.detail),
		[meshHeaders.retryAfterMs]: failure.retryAfterMs,
		...response.req.complete ? {} : {connection: 'close'},
	});
	response.end();
}

function sendResult(response: ServerResponse, call: string, result: AttemptResult): void {
	if (result.type === 'failed') {
		sendFailure(response, call, result);
		return;
	}

	response.writeHead(result.status, {
		...toOutgoingHeaders(result.headers),
		[meshHeaders.answeredBy]: 'server',
		[meshHeaders.call]: call,
		[meshHeaders.verdict]: 'ran',
		[meshHeaders.load]: result.load,
		[meshHeaders.serverMicroseconds]: result.serverMicroseconds,
	});
	// On an error, pipeline destroys the connection, so that a truncated response does not look complete.
	pipeline(result.body, response, () => undefined);
}

/** @internal */
export type GateServer = {
	readonly server: Server;
	/** Answers all requests in flight, since this node stops. */
	readonly endCalls: () => void;
};

/**
 * Creates the HTTP server of the gate port.
 *
 * @param servers - The backend servers beside this node.
 * @param clock - The node's Lamport clock.
 * @returns The server, not listening yet.
 * @internal
 */
export function createGateServer(servers: LocalServers, clock: LamportClock): GateServer {
	const signals = createCallSignals();

	const reserve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const {server, attempt} = readCall(request, response, signals);
		const ticket = await servers.reserve(server, attempt);
		ticket.match(
			text => {
				response.writeHead(200, {'content-length': 0, [meshHeaders.call]: attempt.call, [meshHeaders.ticket]: text});
				response.end();
			},
			({type, retryAfterMs}) => {
				sendFailure(response, attempt.call, {
					type: 'failed', verdict: 'not-run', reason: type, detail: `the gate of ${server} rejected the upload (${type})`, retryAfterMs,
				});
			},
		);
	};

	const forward = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const {server, attempt} = readCall(request, response, signals);
		const result = await servers.send(server, attempt);
		sendResult(response, attempt.call, result.type === 'failed' ? signals.explain(result) : result);
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		clock.witness(getNumberHeader(request.headers, meshHeaders.eventTime) ?? 0);
		try {
			await (request.url === reservePath ? reserve(request, response) : forward(request, response));
		} catch {
			response.destroy();
		}
	};

	return {
		server: createServer({keepAliveTimeout: keepAliveMs, noDelay: true, requestTimeout: 0}, (request, response) => {
			void handle(request, response);
		}),
		endCalls: signals.endAll,
	};
}
