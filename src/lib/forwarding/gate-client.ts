/**
 * Sends requests to the gates of other nodes, over two connections to each. Large
 * bodies and answers have a separate connection, so that small ones do not queue
 * behind them.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type Address} from '../common/ids.js';
import {readSteadyMs} from '../common/clock.js';
import {createCallScope, type CallScope} from './call-scope.js';
import {
	createMayHaveRun, createNotRun, type ForwardFailure, type GateResult,
} from './forward-result.js';
import {
	openPeerChannel, unpacedLink, type ChannelResult, type ChannelOptions, type PeerChannel,
} from './peer-channel.js';
import {decodeConfigAnswer, encodeConfigRequest, type ConfigAnswer} from './config-messages.js';
import {decodePeerAnswer, encodePeerRequest, type PeerRequest} from './peer-messages.js';

/** A request to the backend server beside another node. @internal */
export type RemoteCall = Omit<PeerRequest, 'hasBody' | 'leftMs' | 'bodyMs'> & {
	readonly gate: Address;
	readonly body: Uint8Array | undefined;
	/** Whether the body or the response is large. */
	readonly isBulk: boolean;
	readonly scope: CallScope;
	/** Called repeatedly while the connection of the request is unresponsive. */
	readonly handleUnresponsive?: () => void;
};

/** Why a node did not return its configuration. @internal */
export type ConfigFetchError = {
	/** `nothing`: it has no configuration, or its answer is malformed. */
	readonly type: Extract<ChannelResult, {readonly type: 'failed'}>['reason'] | 'nothing';
	readonly reason: string;
};

/** @internal */
export type GateClient = {
	readonly send: (call: RemoteCall) => Promise<GateResult>;
	/** Requests the active configuration of another node; `version` is the one that this node has. */
	readonly fetchConfig: (gate: Address, version: number, scope: CallScope) => Promise<Result<ConfigAnswer, ConfigFetchError>>;
	/** Sends an ask for tokens of quotas; resolves with the head of the answer, or with `undefined` if none arrives in time. */
	readonly askQuota: (gate: Address, head: unknown) => Promise<unknown>;
	/** Returns when bytes last arrived from a gate, in milliseconds of the steady clock; 0 if none have on its current connections. */
	readonly getLastReceivedAt: (gate: Address) => number;
	/**
	 * Makes new requests use new connections, because requests on the old ones may hang; responses on the old ones are still delivered. A connection that is
	 * being opened is kept, unless the reason is `back`: its connection request may have been sent and lost while the node was unavailable.
	 */
	readonly renewConnections: (gate: Address, reason: 'back' | 'unreachable') => void;
	/** Stops using connections on which nothing arrives although heartbeats of their nodes arrive, and closes them later. Must be called periodically. */
	readonly checkLiveness: (now: number, getHeardAt: (gate: Address) => number | undefined) => void;
	/** Returns the shortest time in which a body can be sent to another node, in milliseconds; 0 for one that is sent with its request. */
	readonly computeBodyMs: (body: Uint8Array | undefined) => number;
	/** Ends the requests whose bodies cannot be sent by a time, in milliseconds of the steady clock. They have not been executed. */
	readonly endLateUploads: (time: number) => void;
	readonly dispose: () => void;
};

/** How long a call waits for a new connection: a few times the highest latency between failure domains, so that an unreachable VM delays a call only briefly. */
const connectWaitMs = 300;

/** How long an ask for tokens may take. Most tokens have expired after that, and another node can be asked. */
const quotaTimeoutMs = 500;

/** Larger bodies are sent once the gate has a slot for the request, so that a refused request transfers no body between failure domains. */
const maxInlineBodyBytes = 4096;

const channelKinds = ['small', 'bulk'] as const;

type ChannelKind = (typeof channelKinds)[number];

function toForwardFailure(failure: Extract<ChannelResult, {readonly type: 'failed'}>): ForwardFailure {
	const {reason, detail, isSent} = failure;
	if (isSent) {
		return createMayHaveRun(reason === 'unreachable' ? 'node-unreachable' : reason, detail);
	}

	return createNotRun(reason === 'unreachable' || reason === 'connection-lost' ? 'node-unreachable' : reason, detail);
}

/**
 * Creates the client. It opens no connection before the first request.
 *
 * @param options - How connections are opened and written to.
 * @returns The client.
 * @internal
 */
export function createGateClient(options: ChannelOptions = {}): GateClient {
	/** The channel for new requests, by kind and gate. */
	const channels = new Map<string, PeerChannel>();
	/** All channels that are open, including retired ones with requests in flight. */
	const openChannels = new Set<PeerChannel>();

	const {computeSendMs} = options.link ?? unpacedLink;

	const computeBodyMs = (body: Uint8Array | undefined): number => body === undefined || body.length <= maxInlineBodyBytes ? 0 : computeSendMs(body.length);

	const getChannel = (gate: Address, kind: ChannelKind): PeerChannel => {
		const key = `${kind} ${gate}`;
		const current = channels.get(key);
		if (current?.isUsable()) {
			return current;
		}

		const channel = openPeerChannel(gate, connectWaitMs, () => {
			openChannels.delete(channel);
			if (channels.get(key) === channel) {
				channels.delete(key);
			}
		}, options);
		openChannels.add(channel);
		channels.set(key, channel);
		return channel;
	};

	return {
		async send(call) {
			const {gate, body, scope} = call;
			const isLarge = body !== undefined && body.length > maxInlineBodyBytes;
			const head = encodePeerRequest({
				id: call.id, server: call.server, method: call.method, target: call.target, headers: call.headers, hasBody: body !== undefined, callerService: call.callerService, rank: call.rank,
				leftMs: scope.deadlineAt - readSteadyMs(), mayWaitMs: call.mayWaitMs, answerMayWaitMs: call.answerMayWaitMs, isCounted: call.isCounted,
				limitPerSecond: call.limitPerSecond, workspace: call.workspace, maxSlowness: call.maxSlowness, bodyMs: isLarge ? computeBodyMs(body) : undefined,
			});
			const result = await getChannel(gate, isLarge || call.isBulk ? 'bulk' : 'small').send({
				type: isLarge ? 'offer' : 'request', head, body, scope, handleUnresponsive: call.handleUnresponsive,
			});
			return result.type === 'failed' ? {result: toForwardFailure(result), load: undefined} : decodePeerAnswer(result.head, result.body);
		},
		async fetchConfig(gate, version, scope) {
			// An answer is mostly a delta of a few hundred bytes, and the connection for large answers may not be open yet.
			const result = await getChannel(gate, 'small').send({
				type: 'config', head: encodeConfigRequest(version), body: undefined, scope,
			});
			if (result.type === 'failed') {
				return err({type: result.reason, reason: result.detail});
			}

			const answer = decodeConfigAnswer(result.head, result.body);
			return answer === undefined ? err({type: 'nothing', reason: 'the answer contains no configuration, or is malformed'}) : ok(answer);
		},
		async askQuota(gate, head) {
			const scope = createCallScope(readSteadyMs() + quotaTimeoutMs);
			const result = await getChannel(gate, 'small').send({
				type: 'quota', head, body: undefined, scope,
			});
			scope.dispose();
			return result.type === 'failed' ? undefined : result.head;
		},
		getLastReceivedAt: gate => Math.max(...channelKinds.map(kind => channels.get(`${kind} ${gate}`)?.getLastReceivedAt() ?? 0)),
		renewConnections(gate, reason) {
			for (const kind of channelKinds) {
				const key = `${kind} ${gate}`;
				const channel = channels.get(key);
				if (channel !== undefined && (reason === 'back' || !channel.isConnecting())) {
					channel.retire();
					channels.delete(key);
				}
			}
		},
		checkLiveness(now, getHeardAt) {
			for (const channel of openChannels) {
				channel.checkLiveness(now, () => getHeardAt(channel.gate));
			}
		},
		computeBodyMs,
		endLateUploads(time) {
			for (const channel of openChannels) {
				channel.endLateUploads(time);
			}
		},
		dispose() {
			for (const channel of openChannels) {
				channel.dispose();
			}

			channels.clear();
		},
	};
}
