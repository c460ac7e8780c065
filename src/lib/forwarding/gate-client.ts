/**
 * Sends requests to the gates of other nodes, over two connections to each:
 * large bodies and answers have one of their own, so that small ones do not wait behind.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type Address} from '../common/ids.js';
import {readSteadyMs} from '../common/clock.js';
import {type CallScope} from './call-scope.js';
import {
	createMayHaveRun, createNotRun, type ForwardFailure, type GateResult,
} from './forward-result.js';
import {
	openPeerChannel, type ChannelResult, type ChannelOptions, type PeerChannel,
} from './peer-channel.js';
import {decodeConfigAnswer, encodeConfigRequest, type ConfigAnswer} from './config-messages.js';
import {decodePeerAnswer, encodePeerRequest, type PeerRequest} from './peer-messages.js';

/** A request for the backend server beside another node. @internal */
export type RemoteCall = Omit<PeerRequest, 'hasBody' | 'leftMs'> & {
	readonly gate: Address;
	readonly body: Uint8Array | undefined;
	/** Its body or its answer is large. */
	readonly isBulk: boolean;
	readonly scope: CallScope;
	/** Told, now and then, while its connection is in doubt. */
	readonly handleUnresponsive?: () => void;
};

/** Why a node did not hand its configuration over. @internal */
export type ConfigFetchError = {
	/** `nothing`: it has none, or sent what cannot be read. */
	readonly type: Extract<ChannelResult, {readonly type: 'failed'}>['reason'] | 'nothing';
	readonly reason: string;
};

/** @internal */
export type GateClient = {
	readonly send: (call: RemoteCall) => Promise<GateResult>;
	/** Asks another node for the configuration in force, telling which version is there. */
	readonly fetchConfig: (gate: Address, version: number, scope: CallScope) => Promise<Result<ConfigAnswer, ConfigFetchError>>;
	/** When bytes last arrived from a gate, in steady milliseconds; 0 if none have on the connections that are in use. */
	readonly getLastReceivedAt: (gate: Address) => number;
	/** New requests get new connections: what was sent on the old ones may hang, or may still be answered. One that is still opening goes on, unless the node is back: what opens it may have been sent while nobody was there. */
	readonly renewConnections: (gate: Address, reason: 'back' | 'unreachable') => void;
	/** Takes connections that have gone silent although their nodes are heard out of use, so that new ones are made, and closes them later. Called every now and then. */
	readonly checkLiveness: (now: number, getHeardAt: (gate: Address) => number | undefined) => void;
	readonly dispose: () => void;
};

/** How long a call waits for a new connection, in milliseconds: a few times the slowest way between failure domains, so that a dark VM costs little. */
const connectWaitMs = 300;

/** Bodies above this size, in bytes, are sent once the gate has a slot for them: a refusal then costs no bytes between failure domains. */
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
 * @param options - How connections are opened and written to.
 * @returns The client. No connection is made before the first request.
 * @internal
 */
export function createGateClient(options: ChannelOptions = {}): GateClient {
	/** The one that takes new requests, by gate and kind. */
	const channels = new Map<string, PeerChannel>();
	/** These, and others whose last requests are under way. */
	const openChannels = new Set<PeerChannel>();

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
			const head = encodePeerRequest({...call, hasBody: body !== undefined, leftMs: scope.deadlineAt - readSteadyMs()});
			const result = await getChannel(gate, isLarge || call.isBulk ? 'bulk' : 'small').send({
				type: isLarge ? 'offer' : 'request', head, body, scope, handleUnresponsive: call.handleUnresponsive,
			});
			return result.type === 'failed' ? {result: toForwardFailure(result), load: undefined} : decodePeerAnswer(result.head, result.body);
		},
		async fetchConfig(gate, version, scope) {
			// Mostly steps of some hundred bytes, and a connection for large answers would have to be opened first.
			const result = await getChannel(gate, 'small').send({
				type: 'config', head: encodeConfigRequest(version), body: undefined, scope,
			});
			if (result.type === 'failed') {
				return err({type: result.reason, reason: result.detail});
			}

			const answer = decodeConfigAnswer(result.head, result.body);
			return answer === undefined ? err({type: 'nothing', reason: 'an answer without a configuration, or one that cannot be read'}) : ok(answer);
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
		dispose() {
			for (const channel of openChannels) {
				channel.dispose();
			}

			channels.clear();
		},
	};
}
