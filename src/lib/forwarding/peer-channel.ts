/**
 * One connection to the gate of another node, which many requests share.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {connect, type NetConnectOpts, type Socket} from 'node:net';
import {parseAddress} from '../common/address.js';
import {readSteadyMs} from '../common/clock.js';
import {type Address} from '../common/ids.js';
import {type CallScope, type ScopeEndReason} from './call-scope.js';
import {createFrameReader, writeFrame, type Frame} from './frame.js';
import {type LinkWriter} from './link-writer.js';

/** What is asked of the other node. @internal */
export type ChannelRequest = {
	readonly type: 'request' | 'offer' | 'config';
	readonly head: unknown;
	readonly body: Uint8Array | undefined;
	readonly scope: CallScope;
	/** Told, now and then, while the connection is in doubt: an answer may still come on it, or never. */
	readonly handleUnresponsive?: () => void;
};

/** How it ended. @internal */
export type ChannelResult =
	| {readonly type: 'answered'; readonly head: unknown; readonly body: Uint8Array}
	| {
		readonly type: 'failed';
		/** Whether the request, with its body, may have arrived. */
		readonly isSent: boolean;
		readonly reason: 'unreachable' | 'connection-lost' | ScopeEndReason;
		readonly detail: string;
	};

/** @internal */
export type PeerChannel = {
	readonly gate: Address;
	readonly send: (request: ChannelRequest) => Promise<ChannelResult>;
	readonly isUsable: () => boolean;
	/** The connection is not up yet. */
	readonly isConnecting: () => boolean;
	/** When bytes last arrived, in steady milliseconds; 0 if none have. */
	readonly getLastReceivedAt: () => number;
	/**
	 * Doubts the connection if nothing arrives on it any more although the other node has given a sign of life since, and closes it later. Called every now
	 * and then, with when that node was last heard, in steady milliseconds.
	 */
	readonly checkLiveness: (now: number, getHeardAt: () => number | undefined) => void;
	/** Takes no more requests, and closes when those under way have ended. */
	readonly retire: () => void;
	readonly dispose: () => void;
};

/** Nothing has arrived for this long while requests wait: the connection is asked whether it works. Milliseconds: most answers are sooner. */
const probeAfterQuietMs = 300;

/**
 * How long a node may take to answer that, from its next sign of life on. Milliseconds: a process that is eight times slower than usual still does.
 * That it was heard a while ago shows nothing: a node that stands still for a second, as small ones do under load, is heard as little as its
 * connections: to give these up fails requests that it would have answered.
 */
const pongTimeoutMs = 800;

/**
 * How much later than its node's sign of life a connection on which nothing arrives is given up with all that waits on it. Milliseconds: TCP, which starts
 * at 200 ms and doubles, has sent four times again by then. Until then its requests go elsewhere if they may, and what is answered all the same is delivered:
 * lost packets look like a connection that is gone, and breaking off costs the work.
 */
const connectionLostMs = 3000;

/**
 * A question that has not left after this long waits behind a body that leaves slowly, or not at all, which nothing here tells apart. Milliseconds: the connection takes
 * nothing new then, and what waits on it goes elsewhere as well if it may; it is not given up, since the body may be one that must not be sent twice.
 */
const probeWriteTimeoutMs = 2000;

/** Whether the connection works, asked on it. Steady milliseconds. */
type LivenessProbe = {
	readonly queuedAt: number;
	/** The system has taken it. */
	isWritten: boolean;
	/** When that was first seen. */
	writtenAt: number | undefined;
	/** When a sign of life of the other node was first seen after that. */
	nodeHeardAt: number | undefined;
};

/** Opens a connection. @internal */
export type OpenSocket = (options: NetConnectOpts) => Socket;

/** How connections are opened and written to. @internal */
export type ChannelOptions = {
	readonly openSocket?: OpenSocket;
	/** Writes to the link of this VM. */
	readonly link?: Pick<LinkWriter, 'write' | 'cancel'>;
};

/** A link of which nothing is known: everything is written at once. */
const unpacedLink: Pick<LinkWriter, 'write' | 'cancel'> = {write: writeFrame, cancel: () => undefined};

type PendingRequest = {
	readonly request: ChannelRequest;
	readonly settle: (result: ChannelResult) => void;
	/** Whether the request, with its body, may have left. */
	isSent: boolean;
	/** Runs while the request waits for the connection. */
	connectWaitTimer: NodeJS.Timeout | undefined;
};

/**
 * How long a connection may take to open. Milliseconds: over a link that is full it takes as long as what waits there, and to give up and begin anew would
 * never get through. Packets are sent again after one second.
 */
const connectTimeoutMs = 2000;

/**
 * Opens a channel.
 *
 * @param address - Where the gate listens.
 * @param connectWaitMs - Milliseconds that a call of a caller waits for the connection; it goes elsewhere then, and the connection goes on opening for others.
 * @param handleClosed - Called once when it has ended.
 * @param surroundings - How it is opened and written to.
 * @returns The channel, connecting.
 * @internal
 */
export function openPeerChannel(address: Address, connectWaitMs: number, handleClosed: () => void, {openSocket = connect, link = unpacedLink}: ChannelOptions = {}): PeerChannel {
	const {host, port} = parseAddress(address);
	const socket = openSocket({host, port, noDelay: true});
	const reader = createFrameReader();
	const pending = new Map<number, PendingRequest>();
	let nextId = 1;
	let isConnected = false;
	let isRetired = false;
	let failureDetail = '';
	/** When something last arrived, or when the first of the requests that wait was sent. Steady milliseconds. */
	let quietSince = 0;
	let lastReceivedAt = 0;
	let probe: LivenessProbe | undefined;

	const connectTimer = setTimeout(() => {
		socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
	}, Math.max(connectTimeoutMs, connectWaitMs));

	const closeIfIdle = (): void => {
		if (isRetired && pending.size === 0) {
			socket.destroy();
		}
	};

	const finish = (id: number, result: ChannelResult): void => {
		const pendingRequest = pending.get(id);
		pending.delete(id);
		pendingRequest?.settle(result);
		closeIfIdle();
	};

	const failAll = (): void => {
		for (const [id, {isSent}] of pending) {
			finish(id, isConnected
				? {
					type: 'failed', isSent, reason: 'connection-lost', detail: failureDetail,
				}
				: {
					type: 'failed', isSent: false, reason: 'unreachable', detail: failureDetail,
				});
		}
	};

	/** Writes a request. Before the connection is up nothing is, so that what is given up meanwhile never leaves. */
	const sendFrame = (id: number, pendingRequest: PendingRequest): void => {
		const {type, head, body} = pendingRequest.request;
		clearTimeout(pendingRequest.connectWaitTimer);
		pendingRequest.isSent = type !== 'offer';
		link.write(socket, {
			type, id, head, ...pendingRequest.isSent && body !== undefined ? {body} : {},
		});
	};

	const startConnectWait = (id: number, pendingRequest: PendingRequest): void => {
		if (pendingRequest.request.type === 'config') {
			return;
		}

		pendingRequest.connectWaitTimer = setTimeout(() => {
			finish(id, {
				type: 'failed', isSent: false, reason: 'unreachable', detail: `no connection within ${connectWaitMs} ms`,
			});
		}, connectWaitMs);
	};

	const sendBody = (id: number): void => {
		const pendingRequest = pending.get(id);
		if (pendingRequest !== undefined && !pendingRequest.isSent) {
			pendingRequest.isSent = true;
			link.write(socket, {type: 'body', id, body: pendingRequest.request.body ?? Buffer.alloc(0)});
		}
	};

	const handleFrame = ({type, id, head, body}: Frame): void => {
		switch (type) {
			case 'answer': {
				// Joined chunks may be large: an answer that is kept must not keep them.
				finish(id, {type: 'answered', head, body});
				break;
			}

			case 'continue': {
				sendBody(id);
				break;
			}

			case 'pong': {
				break;
			}

			case 'request':
			case 'offer':
			case 'body':
			case 'cancel':
			case 'config':
			case 'ping': {
				socket.destroy(new Error(`a frame of type ${type} from a gate`));
				break;
			}
		}
	};

	const reportUnresponsive = (): void => {
		isRetired = true;
		for (const {request} of pending.values()) {
			request.handleUnresponsive?.();
		}
	};

	const sendProbe = (now: number): void => {
		const next: LivenessProbe = {
			queuedAt: now, isWritten: false, writtenAt: undefined, nodeHeardAt: undefined,
		};
		probe = next;
		link.write(socket, {type: 'ping', id: 0}, () => {
			next.isWritten = true;
		});
	};

	socket.on('connect', () => {
		clearTimeout(connectTimer);
		isConnected = true;
		quietSince = readSteadyMs();
		for (const [id, pendingRequest] of pending) {
			sendFrame(id, pendingRequest);
		}
	});
	socket.on('data', (bytes: Uint8Array) => {
		lastReceivedAt = readSteadyMs();
		quietSince = lastReceivedAt;
		probe = undefined;
		try {
			for (const frame of reader.read(bytes)) {
				handleFrame(frame);
			}
		} catch (error) {
			socket.destroy(error as Error);
		}
	});
	socket.on('error', error => {
		failureDetail = error.message;
	});
	socket.on('end', () => {
		socket.destroy();
	});
	socket.once('close', () => {
		clearTimeout(connectTimer);
		failureDetail ||= 'the other node closed the connection';
		failAll();
		handleClosed();
	});

	return {
		gate: address,
		async send(request) {
			return new Promise(resolve => {
				const id = nextId++;
				const {scope} = request;
				if (pending.size === 0) {
					quietSince = readSteadyMs();
					probe = undefined;
				}

				let stopListening = (): void => undefined;
				const pendingRequest: PendingRequest = {
					request,
					isSent: false,
					connectWaitTimer: undefined,
					settle(result) {
						clearTimeout(pendingRequest.connectWaitTimer);
						stopListening();
						resolve(result);
					},
				};
				pending.set(id, pendingRequest);
				if (isConnected) {
					sendFrame(id, pendingRequest);
				} else {
					startConnectWait(id, pendingRequest);
				}

				stopListening = scope.subscribe(reason => {
					const {isSent} = pendingRequest;
					if (isConnected) {
						link.cancel(socket, id);
						link.write(socket, {type: 'cancel', id});
					}

					finish(id, {
						type: 'failed', isSent, reason, detail: reason === 'timeout' ? 'no answer in time' : 'the caller has gone',
					});
				});
			});
		},
		isUsable: () => !isRetired && !socket.destroyed,
		isConnecting: () => !isConnected && !socket.destroyed,
		getLastReceivedAt: () => lastReceivedAt,
		checkLiveness(now, getHeardAt) {
			if (!isConnected || pending.size === 0 || now - quietSince < probeAfterQuietMs) {
				return;
			}

			if (probe === undefined) {
				sendProbe(now);
				return;
			}

			if (!probe.isWritten) {
				if (now - probe.queuedAt > probeWriteTimeoutMs) {
					reportUnresponsive();
				}

				return;
			}

			probe.writtenAt ??= now;
			probe.nodeHeardAt ??= (getHeardAt() ?? 0) > probe.writtenAt ? now : undefined;
			const {nodeHeardAt} = probe;
			if (nodeHeardAt === undefined || now - nodeHeardAt <= pongTimeoutMs) {
				return;
			}

			if (now - nodeHeardAt > connectionLostMs) {
				socket.destroy(new Error('nothing arrives on the connection although the node is heard'));
				return;
			}

			reportUnresponsive();
		},
		retire() {
			isRetired = true;
			closeIfIdle();
			// A process that has restarted resets the connection when it gets this, and what waits for its earlier run ends at once.
			link.write(socket, {type: 'ping', id: 0});
		},
		dispose() {
			isRetired = true;
			socket.destroy();
		},
	};
}
