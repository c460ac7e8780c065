/**
 * Sends requests to the gates of other nodes.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type Address, type BackendServerId} from '../common/ids.js';
import {type CallScope} from './call-scope.js';
import {
	encodePeerCall, filterCallHeaders, getText, peerHeaders, type WireHeaders,
} from './call-headers.js';
import {runExchange, type ExchangeAnswer, type ExchangeFailure} from './exchange.js';
import {
	createMayHaveRun, createNotRun, decodeGateResult, type ForwardFailure, type GateResult,
} from './forward-result.js';
import {HopAgent} from './hop-agent.js';

/** A request for the backend server beside another node. @internal */
export type RemoteCall = {
	readonly id: string;
	readonly gate: Address;
	readonly server: BackendServerId;
	readonly method: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array | undefined;
	readonly callerService: string;
	readonly rank: number;
	readonly mayWaitMs: number;
	readonly scope: CallScope;
};

/** @internal */
export type GateClient = {
	readonly send: (call: RemoteCall) => Promise<GateResult>;
	/** Closes the connections to a gate that is gone. */
	readonly forget: (gate: Address) => void;
	readonly dispose: () => void;
};

/** Connections from one node to one gate; above it requests wait for one another. */
const connectionsPerGate = 128;

/** Idle connections are closed after this, in milliseconds: gates keep them three times as long. */
const idleConnectionMs = 20_000;

/** Longest time for a new connection, in milliseconds: a few times the slowest way between failure domains, so that a dark VM costs little. */
const connectMs = 300;

/** Bodies above this size, in bytes, are sent once the gate has a slot for them: a refusal then costs no bytes between failure domains. */
const askFirstBytes = 4096;

function judgeFailure(failure: ExchangeFailure): ForwardFailure {
	if (failure.reason === 'unreachable') {
		return createNotRun('node-unreachable', failure.detail);
	}

	return failure.isSent ? createMayHaveRun(failure.reason, failure.detail) : createNotRun(failure.reason === 'connection-lost' ? 'node-unreachable' : failure.reason, failure.detail);
}

function judgeAnswer(answer: ExchangeAnswer): GateResult {
	const {status, headers, body} = answer;
	return decodeGateResult(getText(headers, peerHeaders.result) ?? '', {status, headers: filterCallHeaders(headers), body});
}

/**
 * @param wire - Headers that callers and backend servers know.
 * @returns The client. No connection is made before the first request.
 * @internal
 */
export function createGateClient(wire: WireHeaders): GateClient {
	const agents = new Map<Address, HopAgent>();

	const getAgent = (gate: Address): HopAgent => {
		const known = agents.get(gate);
		if (known !== undefined) {
			return known;
		}

		const agent = new HopAgent({maxConnections: connectionsPerGate, idleMs: idleConnectionMs});
		agents.set(gate, agent);
		return agent;
	};

	return {
		async send(call) {
			const {body} = call;
			const answer = await runExchange({
				agent: getAgent(call.gate),
				address: call.gate,
				method: call.method,
				target: call.target,
				headers: {
					...call.headers as Record<string, string | string[]>,
					[wire.callId]: call.id,
					[peerHeaders.call]: encodePeerCall({...call, leftMs: call.scope.endsAt - readSteadyMs()}),
					...body === undefined ? {} : {'content-length': String(body.length)},
					...body !== undefined && body.length > askFirstBytes ? {expect: '100-continue'} : {},
				},
				body,
				mustAskFirst: body !== undefined && body.length > askFirstBytes,
				scope: call.scope,
				connectMs,
				isOwnAnswer: headers => headers[peerHeaders.result] !== undefined,
			});
			return answer.type === 'failed'
				? {result: judgeFailure(answer), load: undefined}
				: judgeAnswer(answer);
		},
		forget(gate) {
			agents.get(gate)?.destroy();
			agents.delete(gate);
		},
		dispose() {
			for (const agent of agents.values()) {
				agent.destroy();
			}

			agents.clear();
		},
	};
}
