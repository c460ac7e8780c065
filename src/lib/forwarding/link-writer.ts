/**
 * Writes frames to the link of this VM, large ones in pieces and no faster than the
 * link carries them. Large frames written in one piece would delay everything sent after
 * them until all of them are sent: new connections, configuration requests,
 * heartbeats and small responses (head-of-line blocking).
 *
 * @module
 */
import {type Socket} from 'node:net';
import process from 'node:process';
import {readSteadyMs} from '../common/clock.js';
import {encodeFrameHead, writeFrame} from './frame.js';
import {createLinkPacer} from './link-pacer.js';

type LinkFrame = Parameters<typeof writeFrame>[1];

/** @internal */
export type LinkWriter = {
	/** Writes a frame. A frame with a large body waits until the link has capacity. Frames of one connection are never interleaved. Calls back once the socket has accepted the whole frame. */
	readonly write: (socket: Socket, frame: LinkFrame, handleWritten?: () => void) => void;
	/** Writes a frame of any size before all queued large frames, but never inside one that is already being written on the same connection. */
	readonly writeUrgent: (socket: Socket, frame: LinkFrame) => void;
	/** Removes a queued large frame whose receiver no longer needs it. A frame that has been partly written is completed. */
	readonly cancel: (socket: Socket, id: number) => void;
	/** Returns the number of large frames that are not completely written. */
	readonly countQueued: () => number;
	/** Returns the queued bytes of one connection, or of the large frames of all connections. */
	readonly countQueuedBytes: (socket?: Socket) => number;
	readonly dispose: () => void;
};

/** Bodies above this size are written in pieces. The users' slowest links carry this many bytes in twelve milliseconds, as long as a few small responses. */
const largeBodyBytes = 16_384;

/** Minimum time that a socket has to accept a piece before another frame continues. */
const minWaitMs = 5;

/** A large frame that is queued or partly written. */
type LargeFrame = {
	readonly socket: Socket;
	readonly frame: LinkFrame;
	readonly handleWritten: (() => void) | undefined;
	readonly body: Uint8Array;
	/** Bytes of the body that have been written. */
	sentBytes: number;
	isStarted: boolean;
	/** Whether the socket has not accepted the last piece yet, because the other node does not read. */
	isBlocked: boolean;
};

/** A frame with the callback for when it has been written. */
type QueuedFrame = readonly [frame: LinkFrame, handleWritten: (() => void) | undefined];

/** Frames queued behind a large frame that is being written on the same connection. */
type FrameQueue = {
	readonly frames: QueuedFrame[];
	bytes: number;
};

/**
 * Creates a writer with nothing queued.
 *
 * @param linkMbps - Bandwidth of the link in megabits per second; 0 if unknown, so that no frame waits.
 * @returns The writer.
 * @internal
 */
export function createLinkWriter(linkMbps: number): LinkWriter {
	const pacer = createLinkPacer(linkMbps);
	/** Large frames in the order of arrival. The first one that is not blocked continues, so that few are partly written at the same time. */
	let largeFrames: LargeFrame[] = [];
	/** Queues of the connections on which a large frame is being written. */
	const queues = new Map<Socket, FrameQueue>();
	let timer: NodeJS.Timeout | undefined;

	const writeNow = (socket: Socket, frame: LinkFrame, handleWritten?: () => void): void => {
		const bodyBytes = frame.body?.length ?? 0;
		if (bodyBytes > 0) {
			pacer.record(bodyBytes, readSteadyMs());
		}

		writeFrame(socket, frame, handleWritten);
	};

	const remove = (large: LargeFrame): void => {
		largeFrames = largeFrames.filter(other => other !== large);
	};

	/** Writes the frames that were queued behind a large frame on a connection. */
	const flushQueue = (socket: Socket): void => {
		const queue = queues.get(socket);
		queues.delete(socket);
		for (const [frame, handleWritten] of queue?.frames ?? []) {
			writeNow(socket, frame, handleWritten);
		}
	};

	const finish = (large: LargeFrame): void => {
		remove(large);
		if (large.isStarted) {
			flushQueue(large.socket);
		}

		large.handleWritten?.();
	};

	const startFrame = (large: LargeFrame): void => {
		const {socket, frame} = large;
		large.isStarted = true;
		queues.set(socket, {frames: [], bytes: 0});
		socket.cork();
		socket.write(encodeFrameHead(frame));
		process.nextTick(() => {
			socket.uncork();
		});
	};

	const writePiece = (large: LargeFrame): void => {
		const {socket, body} = large;
		if (!large.isStarted) {
			startFrame(large);
		}

		const piece = body.subarray(large.sentBytes, large.sentBytes + pacer.pieceBytes);
		large.sentBytes += piece.length;
		large.isBlocked = true;
		pacer.record(piece.length, readSteadyMs());
		socket.write(piece, () => {
			large.isBlocked = false;
			if (large.sentBytes >= body.length) {
				finish(large);
			}

			sendNext();
		});
	};

	/** Whether the next piece of a frame may be written. Each connection writes one large frame at a time. */
	const mayContinue = ({socket, isStarted, isBlocked, sentBytes, body}: LargeFrame): boolean =>
		!isBlocked && sentBytes < body.length && (isStarted || !queues.has(socket));

	const removeClosed = (): void => {
		for (const large of largeFrames.filter(({socket}) => socket.destroyed)) {
			remove(large);
			queues.delete(large.socket);
		}
	};

	const sendNext = (): void => {
		clearTimeout(timer);
		timer = undefined;
		removeClosed();
		const next = largeFrames.find(large => mayContinue(large));
		if (next === undefined) {
			return;
		}

		const waitMs = pacer.computeWaitMs(readSteadyMs());
		if (waitMs === 0) {
			writePiece(next);
		}

		// The socket usually accepts a piece immediately, and the callback of the write continues with the same frame. Otherwise the timer continues with another frame.
		timer = setTimeout(sendNext, Math.max(waitMs, minWaitMs));
	};

	const writeUrgent = (socket: Socket, frame: LinkFrame, handleWritten?: () => void): void => {
		const queue = queues.get(socket);
		if (queue === undefined) {
			writeNow(socket, frame, handleWritten);
			return;
		}

		queue.frames.push([frame, handleWritten]);
		queue.bytes += frame.body?.length ?? 0;
	};

	return {
		write(socket, frame, handleWritten) {
			const {body} = frame;
			if (body === undefined || body.length <= largeBodyBytes) {
				writeUrgent(socket, frame, handleWritten);
				return;
			}

			largeFrames.push({
				socket, frame, handleWritten, body, sentBytes: 0, isStarted: false, isBlocked: false,
			});
			if (timer === undefined) {
				sendNext();
			}
		},
		writeUrgent,
		cancel(socket, id) {
			const queued = largeFrames.find(large => large.socket === socket && large.frame.id === id && !large.isStarted);
			if (queued !== undefined) {
				remove(queued);
			}
		},
		countQueued: () => largeFrames.length,
		countQueuedBytes(socket) {
			let sum = 0;
			for (const large of largeFrames) {
				sum += socket === undefined || large.socket === socket ? large.body.length - large.sentBytes : 0;
			}

			return sum + (socket === undefined ? 0 : queues.get(socket)?.bytes ?? 0);
		},
		dispose() {
			clearTimeout(timer);
		},
	};
}
