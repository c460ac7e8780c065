/**
 * A connection to the gate of another node, which many requests share.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {connect, type NetConnectOpts, type Socket} from 'node:net';
import {parseAddress} from '../common/address.js';
import {readSteadyMs} from '../common/clock.js';
import {type Address} from '../common/ids.js';
import {type MemoryLedger} from '../memory/memory-ledger.js';
import {type CallScope, type ScopeEndReason} from './call-scope.js';
import {maySendPieces} from './body-pieces.js';
import {createConnectionLiveness} from './connection-liveness.js';
import {createFrameReader, writeFrame, type Frame} from './frame.js';
import {type LinkWriter} from './link-writer.js';

/** A request to the other node. @internal */
export type ChannelRequest = {
	readonly type: 'request' | 'offer' | 'config' | 'quota';
	readonly head: unknown;
	readonly body: Uint8Array | undefined;
	readonly scope: CallScope;
	/** Called repeatedly while the connection is unresponsive. An answer may still arrive on it. */
	readonly handleUnresponsive?: () => void;
};

/** The result of a request. @internal */
export type ChannelResult =
	| {readonly type: 'answered'; readonly head: unknown; readonly body: Uint8Array}
	| {
		readonly type: 'failed';
		/** Whether the request, with its body, may have reached the other node. */
		readonly isSent: boolean;
		readonly reason: 'unreachable' | 'connection-lost' | ScopeEndReason;
		readonly detail: string;
	};

/** @internal */
export type PeerChannel = {
	readonly gate: Address;
	readonly send: (request: ChannelRequest) => Promise<ChannelResult>;
	readonly isUsable: () => boolean;
	/** Returns whether the connection is still being opened. */
	readonly isConnecting: () => boolean;
	/** Returns when bytes last arrived, in milliseconds of the steady clock; 0 if none have. */
	readonly getLastReceivedAt: () => number;
	/**
	 * Probes the connection if nothing arrives while requests are in flight. If the probe remains unanswered although the other node was heard after the probe was
	 * sent, stops using the connection, and closes it later. Must be called periodically. `getHeardAt` returns when the other node was last heard, in milliseconds
	 * of the steady clock.
	 */
	readonly checkLiveness: (now: number, getHeardAt: () => number | undefined) => void;
	/** Ends the requests whose bodies cannot be sent by a time, in milliseconds of the steady clock. They have not been executed. */
	readonly endLateUploads: (time: number) => void;
	/** Accepts no more requests, and closes the connection once those in flight have ended. */
	readonly retire: () => void;
	readonly dispose: () => void;
};

/** Opens a TCP connection. @internal */
export type OpenSocket = (options: NetConnectOpts) => Socket;

/** How connections are opened and written to. @internal */
export type ChannelOptions = {
	readonly openSocket?: OpenSocket;
	/** Writes frames at the rate of the network link of this VM. */
	readonly link?: ChannelLink;
	/** What this process holds for its clients; not counted if omitted. */
	readonly ledger?: MemoryLedger;
};

type ChannelLink = Pick<LinkWriter, 'write' | 'writeInPieces' | 'cancel' | 'computeSendMs' | 'estimateMs'>;

/** Used if the speed of the link is unknown: writes everything immediately. @internal */
export const unpacedLink: ChannelLink = {
	write: writeFrame, writeInPieces: writeFrame, cancel: () => false, computeSendMs: () => 0, estimateMs: () => undefined,
};

const endDetails: Readonly<Record<ScopeEndReason, string>> = {
	timeout: 'no answer before the deadline',
	cancelled: 'the caller no longer waits for the answer',
	superseded: 'the caller no longer waits for the answer',
	stopping: 'this node shuts down',
};

/** Shorter frames that have not arrived whole are not counted. */
const minCountedBytes = 65_536;

type PendingRequest = {
	readonly request: ChannelRequest;
	readonly settle: (result: ChannelResult) => void;
	/** Whether the request was handed over for sending, with its body. */
	isSent: boolean;
	/** Set while the request waits for the connection to open. */
	connectWaitTimer: NodeJS.Timeout | undefined;
};

/**
 * How long a connection may take to open. On a saturated link, the connection request waits behind all queued bytes, so aborting it and starting over
 * would never succeed. The connection request is retransmitted after one second.
 */
const connectTimeoutMs = 2000;

/**
 * Opens a channel.
 *
 * @param address - The address of the gate.
 * @param connectWaitMs - How long a call waits for the connection, in milliseconds. The call then fails as not sent, while the connection continues to open for others.
 * @param handleClosed - Called once when the connection has closed.
 * @param options - How the connection is opened and written to.
 * @returns The channel, whose connection is being opened.
 * @internal
 */
export function openPeerChannel(address: Address, connectWaitMs: number, handleClosed: () => void, {openSocket = connect, link = unpacedLink, ledger}: ChannelOptions = {}): PeerChannel {
	const {host, port} = parseAddress(address);
	const socket = openSocket({host, port, noDelay: true});
	const reader = createFrameReader();
	/** Frames that arrive are given up by their request only, whose deadline bounds them. */
	const account = ledger?.open();
	const pending = new Map<number, PendingRequest>();
	let nextId = 1;
	let isConnected = false;
	let isRetired = false;
	let failureDetail = '';
	let lastReceivedAt = 0;
	const liveness = createConnectionLiveness();

	const connectTimer = setTimeout(() => {
		socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
	}, Math.max(connectTimeoutMs, connectWaitMs));

	const closeIfIdle = (): void => {
		if (isRetired && pending.size === 0) {
			socket.destroy();
		}
	};

	/** Withdraws what is not written of a request. Returns whether the other node may have all of it. */
	const withdraw = (id: number, {isSent, request}: PendingRequest): boolean => isSent && !(request.type === 'offer' && link.cancel(socket, id));

	const finish = (id: number, result: ChannelResult): void => {
		const pendingRequest = pending.get(id);
		pending.delete(id);
		pendingRequest?.settle(result);
		closeIfIdle();
	};

	const failAll = (): void => {
		for (const [id, pendingRequest] of pending) {
			finish(id, isConnected
				? {
					type: 'failed', isSent: withdraw(id, pendingRequest), reason: 'connection-lost', detail: failureDetail,
				}
				: {
					type: 'failed', isSent: false, reason: 'unreachable', detail: failureDetail,
				});
		}
	};

	/** Writes a request. Nothing is written before the connection is open, so that a request that is cancelled in the meantime is never sent. */
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

	const sendBody = (id: number, continueHead: unknown): void => {
		const pendingRequest = pending.get(id);
		if (pendingRequest === undefined || pendingRequest.isSent) {
			return;
		}

		pendingRequest.isSent = true;
		const frame = {type: 'body', id, body: pendingRequest.request.body ?? Buffer.alloc(0)} as const;
		if (maySendPieces(continueHead)) {
			link.writeInPieces(socket, frame);
		} else {
			link.write(socket, frame);
		}
	};

	/** Ends a request of which the other node gets no more. */
	const cancel = (id: number, pendingRequest: PendingRequest, reason: ScopeEndReason, detail: string): void => {
		const isSent = withdraw(id, pendingRequest);
		if (isConnected) {
			link.write(socket, {type: 'cancel', id});
		}

		finish(id, {
			type: 'failed', isSent, reason, detail,
		});
	};

	const handleFrame = ({type, id, head, body}: Frame): void => {
		switch (type) {
			case 'answer': {
				// A gate may refuse a request before it has the whole body.
				link.cancel(socket, id);
				// The body is a view of the joined chunks, which may be large: code that keeps an answer for long must copy it.
				finish(id, {type: 'answered', head, body});
				break;
			}

			case 'continue': {
				sendBody(id, head);
				break;
			}

			case 'pong': {
				break;
			}

			case 'request':
			case 'offer':
			case 'body':
			case 'piece':
			case 'cancel':
			case 'config':
			case 'ping':
			case 'quota': {
				socket.destroy(new Error(`unexpected frame of type ${type} from a gate`));
				break;
			}
		}
	};

	/** Counts the bytes of a long frame that has not arrived whole. */
	const countIncomplete = (): void => {
		const before = account?.count('buffers') ?? 0;
		const bytes = reader.countBufferedBytes();
		if (account !== undefined && (before > 0 || bytes > minCountedBytes)) {
			account.release('buffers', before);
			account.add('buffers', bytes);
		}
	};

	const reportUnresponsive = (): void => {
		isRetired = true;
		for (const {request} of pending.values()) {
			request.handleUnresponsive?.();
		}
	};

	socket.on('connect', () => {
		clearTimeout(connectTimer);
		isConnected = true;
		liveness.recordActivity(readSteadyMs());
		for (const [id, pendingRequest] of pending) {
			sendFrame(id, pendingRequest);
		}
	});
	socket.on('data', (bytes: Uint8Array) => {
		lastReceivedAt = readSteadyMs();
		liveness.recordActivity(lastReceivedAt);
		try {
			const frames = reader.read(bytes);
			countIncomplete();
			for (const frame of frames) {
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
		account?.close();
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
					liveness.recordActivity(readSteadyMs());
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
					cancel(id, pendingRequest, reason, endDetails[reason]);
				});
			});
		},
		isUsable: () => !isRetired && !socket.destroyed,
		isConnecting: () => !isConnected && !socket.destroyed,
		getLastReceivedAt: () => lastReceivedAt,
		checkLiveness(now, getHeardAt) {
			if (!isConnected || pending.size === 0) {
				return;
			}

			const step = liveness.check(now, getHeardAt);
			switch (step.type) {
				case 'wait': {
					break;
				}

				case 'probe': {
					link.write(socket, {type: 'ping', id: 0}, step.handleWritten);
					break;
				}

				case 'unresponsive': {
					reportUnresponsive();
					break;
				}

				case 'lost': {
					socket.destroy(new Error('nothing arrives on the connection although heartbeats of the node arrive'));
					break;
				}
			}
		},
		endLateUploads(time) {
			const leftMs = time - readSteadyMs();
			for (const [id, pendingRequest] of pending) {
				const {request: {type, body}, isSent} = pendingRequest;
				const sendMs = type !== 'offer' || body === undefined ? undefined : (isSent ? link.estimateMs(socket, id) : link.computeSendMs(body.length));
				if (sendMs !== undefined && sendMs > leftMs) {
					cancel(id, pendingRequest, 'stopping', 'the rest of the body cannot be sent before this node has to stop');
				}
			}
		},
		retire() {
			isRetired = true;
			closeIfIdle();
			// If the process at the other end has restarted, its system answers the ping with a reset, which ends the requests that wait for the earlier process immediately.
			link.write(socket, {type: 'ping', id: 0});
		},
		dispose() {
			isRetired = true;
			socket.destroy();
		},
	};
}
