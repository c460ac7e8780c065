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
import {type LoopLag} from '../common/loop-lag.js';
import {createCallScope, type CallScope} from './call-scope.js';
import {
	decodePeerCall, filterCallHeaders, getText, peerHeaders, type PeerCall, type WireHeaders,
} from './call-headers.js';
import {encodeGateResult, type GateResult} from './forward-result.js';
import {type LocalGate} from './local-gate.js';
import {hasBody, readBody} from './read-body.js';
import {watchConnections, type ConnectionScopes} from './connection-scopes.js';

/** Path at which a node asks for the configuration in force. No caller reaches this port. @internal */
export const configPath = '/mesh/config';

/** Idle connections of other nodes are kept this long, in milliseconds: longer than the senders keep them. */
const keepAliveMs = 60_000;

type GateRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly askForBody: () => void;
};

function sendResult(response: ServerResponse, gateResult: GateResult): void {
	if (response.destroyed) {
		return;
	}

	response.sendDate = false;
	const {result} = gateResult;
	const resultHeader = {[peerHeaders.result]: encodeGateResult(gateResult)};
	if (result.type === 'answered') {
		const lengthHeader = response.req.method === 'HEAD' ? {} : {'content-length': result.body.length};
		response.writeHead(result.status, {...result.headers as Record<string, string | string[]>, ...resultHeader, ...lengthHeader});
		response.end(result.body);
		return;
	}

	response.writeHead(503, {...resultHeader, 'content-length': 0, ...response.req.complete ? {} : {connection: 'close'}});
	response.end();
}

/** @internal */
export type GateServerContext = {
	readonly gate: LocalGate;
	readonly wire: WireHeaders;
	/** The configuration in force, as the store holds it. */
	readonly getConfigText: () => string | undefined;
	readonly maxBodyBytes: number;
	/** Lets whatever has arrived meanwhile be heard, if this process lags behind. */
	readonly catchUp: LoopLag['catchUp'];
};

/**
 * @param context - The gate and what it works with.
 * @returns The server, not listening yet.
 * @internal
 */
export function createGateServer(context: GateServerContext): Server {
	const {gate, wire, getConfigText, maxBodyBytes, catchUp} = context;

	/** Only nodes speak here: of anything else but the question for the configuration nothing is run. */
	const refuseStranger = (request: IncomingMessage, response: ServerResponse): void => {
		if (request.url === configPath) {
			sendConfig(response);
			return;
		}

		response.writeHead(404, {'content-length': 0, connection: 'close'});
		response.end();
	};

	const sendConfig = (response: ServerResponse): void => {
		const text = getConfigText();
		response.writeHead(text === undefined ? 404 : 200, {'content-length': Buffer.byteLength(text ?? '')});
		response.end(text);
	};

	const forward = async ({request, response, askForBody}: GateRequest, peerCall: PeerCall, scope: CallScope): Promise<void> => {
		const {headers} = request;
		const result = await gate.run({
			...peerCall,
			id: getText(headers, wire.callId) ?? '',
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
			scope,
		});
		sendResult(response, result);
	};

	const handle = async (connections: ConnectionScopes, gateRequest: GateRequest): Promise<void> => {
		const {request, response} = gateRequest;
		const peerCall = decodePeerCall(getText(request.headers, peerHeaders.call));
		if (peerCall === undefined) {
			refuseStranger(request, response);
			return;
		}

		const scope = createCallScope(readSteadyMs() + peerCall.leftMs);
		const forget = connections.add(request.socket, scope);
		try {
			await catchUp();
			await forward(gateRequest, peerCall, scope);
		} finally {
			forget();
			scope.dispose();
		}
	};

	const server = createServer({keepAliveTimeout: keepAliveMs, noDelay: true, requestTimeout: 0});
	const connections = watchConnections(server);
	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		void handle(connections, {request, response, askForBody: () => undefined});
	});
	server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		void handle(connections, {
			request,
			response,
			askForBody() {
				response.writeContinue();
			},
		});
	});
	return server;
}
