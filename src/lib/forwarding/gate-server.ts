/**
 * Takes requests of other nodes for the backend server beside this one, and
 * hands the configuration in force to nodes that lack it.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {readSteadyMs} from '../common/clock.js';
import {toBackendServerId} from '../common/ids.js';
import {createCallScope, type CallScope} from './call-scope.js';
import {
	filterCallHeaders, getAmount, getText, peerHeaders, type WireHeaders,
} from './call-headers.js';
import {type GateLoad, type GateResult} from './forward-result.js';
import {type LocalGate} from './local-gate.js';
import {hasBody, readBody} from './read-body.js';
import {watchConnections, type ConnectionScopes} from './connection-scopes.js';

/** Path at which a node asks for the configuration in force. No caller reaches this port. @internal */
export const configPath = '/mesh/config';

/** Idle connections of other nodes are kept this long, in milliseconds: longer than the senders keep them. */
const keepAliveMs = 60_000;

/** Time for a request that does not say how much it has, which no node sends. Milliseconds. */
const defaultLeftMs = 1000;

function formatLoad(load: GateLoad): string {
	return `${load.running},${load.waiting},${Math.round(load.serviceMs)}`;
}

/**
 * Reads what a gate said of its load.
 *
 * @param text - The header's value.
 * @returns The load, or `undefined` if the text is none.
 * @internal
 */
export function parseLoad(text: string | undefined): GateLoad | undefined {
	const [running, waiting, serviceMs] = (text ?? '').split(',').map(Number);
	return running === undefined || waiting === undefined || serviceMs === undefined || !Number.isFinite(running + waiting + serviceMs)
		? undefined
		: {running, waiting, serviceMs};
}

function sendResult(response: ServerResponse, {result, load}: GateResult): void {
	if (response.destroyed) {
		return;
	}

	const loadHeader = load === undefined ? {} : {[peerHeaders.load]: formatLoad(load)};
	if (result.type === 'answered') {
		const isHead = response.req.method === 'HEAD';
		response.writeHead(result.status, {
			...result.headers as Record<string, string | string[]>, ...loadHeader, [peerHeaders.verdict]: 'ran', ...isHead ? {} : {'content-length': result.body.length},
		});
		response.end(result.body);
		return;
	}

	response.writeHead(503, {
		...loadHeader,
		'content-length': 0,
		[peerHeaders.verdict]: result.verdict,
		[peerHeaders.reason]: result.reason,
		[peerHeaders.detail]: encodeURIComponent(result.detail),
		[peerHeaders.hasArrived]: result.hasArrived ? '1' : '0',
		[peerHeaders.retryAfterMs]: Math.round(result.retryAfterMs),
		...response.req.complete ? {} : {connection: 'close'},
	});
	response.end();
}

/** @internal */
export type GateServerContext = {
	readonly gate: LocalGate;
	readonly wire: WireHeaders;
	/** The configuration in force, as the store holds it. */
	readonly getConfigText: () => string | undefined;
	readonly maxBodyBytes: number;
};

/**
 * @param context - The gate and what it works with.
 * @returns The server, not listening yet.
 * @internal
 */
export function createGateServer(context: GateServerContext): Server {
	const {gate, wire, getConfigText, maxBodyBytes} = context;

	const sendConfig = (response: ServerResponse): void => {
		const text = getConfigText();
		response.writeHead(text === undefined ? 404 : 200, {'content-length': Buffer.byteLength(text ?? '')});
		response.end(text);
	};

	const forward = async (request: IncomingMessage, response: ServerResponse, scope: CallScope, askForBody: () => void): Promise<void> => {
		const {headers} = request;
		const result = await gate.run({
			id: getText(headers, wire.callId) ?? '',
			server: toBackendServerId(getText(headers, peerHeaders.server) ?? ''),
			method: request.method ?? 'GET',
			target: request.url ?? '/',
			headers: filterCallHeaders(headers),
			async readBody() {
				if (!hasBody(request)) {
					return undefined;
				}

				askForBody();
				return readBody(request, maxBodyBytes);
			},
			callerService: getText(headers, peerHeaders.callerService) ?? '',
			rank: getAmount(headers, peerHeaders.rank) ?? 0,
			mayWaitMs: getAmount(headers, peerHeaders.mayWaitMs) ?? 0,
			scope,
		});
		sendResult(response, result);
	};

	const handle = async (connections: ConnectionScopes, request: IncomingMessage, response: ServerResponse, askForBody: () => void): Promise<void> => {
		if (request.url === configPath && getText(request.headers, peerHeaders.server) === undefined) {
			sendConfig(response);
			return;
		}

		const scope = createCallScope(readSteadyMs() + (getAmount(request.headers, peerHeaders.leftMs) ?? defaultLeftMs));
		const forget = connections.add(request.socket, scope);
		try {
			await forward(request, response, scope, askForBody);
		} finally {
			forget();
			scope.dispose();
		}
	};

	const server = createServer({keepAliveTimeout: keepAliveMs, noDelay: true, requestTimeout: 0});
	const connections = watchConnections(server);
	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		void handle(connections, request, response, () => undefined);
	});
	server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		void handle(connections, request, response, () => {
			response.writeContinue();
		});
	});
	return server;
}
