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
	/** Writes a large body as frames of type `piece` that end with the given frame. Other frames of the connection are sent between them, and what is not written can be cancelled. */
	readonly writeInPieces: (socket: Socket, frame: LinkFrame) => void;
	/**
	 * Removes a queued large frame whose receiver no longer needs it. A frame that has been partly written is completed, unless it is written in pieces.
	 * Returns whether the frame was removed, so that the receiver never gets all of it.
	 */
	readonly cancel: (socket: Socket, id: number) => boolean;
	/** Returns the shortest time in which the link carries a body, in milliseconds. */
	readonly computeSendMs: (bytes: number) => number;
	/** Estimates the time until a queued large frame is completely written, in milliseconds; `undefined` if it is not queued. */
	readonly estimateMs: (socket: Socket, id: number) => number | undefined;
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
	readonly isInPieces: boolean;
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

function sumUnsentBytes(frames: readonly LargeFrame[]): number {
	let sum = 0;
	for (const {body, sentBytes} of frames) {
		sum += body.length - sentBytes;
	}

	return sum;
}

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
		if (large.isStarted && !large.isInPieces) {
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
		const {socket, frame, body, isInPieces} = large;
		if (!large.isStarted && !isInPieces) {
			startFrame(large);
		}

		const piece = body.subarray(large.sentBytes, large.sentBytes + pacer.pieceBytes);
		large.sentBytes += piece.length;
		large.isBlocked = true;
		pacer.record(piece.length, readSteadyMs());
		const handlePieceWritten = (): void => {
			large.isBlocked = false;
			if (large.sentBytes >= body.length) {
				finish(large);
			}

			sendNext();
		};

		if (isInPieces) {
			writeFrame(socket, {...frame, type: large.sentBytes < body.length ? 'piece' : frame.type, body: piece}, handlePieceWritten);
		} else {
			socket.write(piece, handlePieceWritten);
		}
	};

	/** Whether the next piece of a frame may be written. Nothing may be written inside a whole frame of the same connection. */
	const mayContinue = ({socket, isStarted, isBlocked, isInPieces, sentBytes, body}: LargeFrame): boolean =>
		!isBlocked && !socket.destroyed && sentBytes < body.length && (!queues.has(socket) || (isStarted && !isInPieces));

	/** Whether a frame can be removed. Its receiver takes bytes after an incomplete frame for a part of it. */
	const isRemovable = ({isInPieces, isStarted, sentBytes, body}: LargeFrame): boolean => isInPieces ? sentBytes < body.length : !isStarted;

	/** Removes the frames of closed connections. Frames in pieces are left to their sender, which cancels them and learns so that they were not sent. */
	const removeClosed = (): void => {
		for (const large of largeFrames.filter(({socket, isInPieces}) => socket.destroyed && !isInPieces)) {
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

	const writeLarge = (large: Pick<LargeFrame, 'socket' | 'frame' | 'handleWritten' | 'isInPieces'>): void => {
		const {body} = large.frame;
		if (body === undefined || body.length <= largeBodyBytes) {
			writeUrgent(large.socket, large.frame, large.handleWritten);
			return;
		}

		largeFrames.push({
			...large, body, sentBytes: 0, isStarted: false, isBlocked: false,
		});
		if (timer === undefined) {
			sendNext();
		}
	};

	return {
		write(socket, frame, handleWritten) {
			writeLarge({
				socket, frame, handleWritten, isInPieces: false,
			});
		},
		writeUrgent,
		writeInPieces(socket, frame) {
			writeLarge({
				socket, frame, handleWritten: undefined, isInPieces: true,
			});
		},
		cancel(socket, id) {
			const queued = largeFrames.find(large => large.socket === socket && large.frame.id === id && isRemovable(large));
			if (queued === undefined) {
				return false;
			}

			remove(queued);
			return true;
		},
		computeSendMs: pacer.computeSendMs,
		estimateMs(socket, id) {
			const index = largeFrames.findIndex(large => large.socket === socket && large.frame.id === id);
			return index === -1 ? undefined : pacer.estimateMs(sumUnsentBytes(largeFrames.slice(0, index + 1)), readSteadyMs());
		},
		countQueued: () => largeFrames.length,
		countQueuedBytes: socket => socket === undefined
			? sumUnsentBytes(largeFrames)
			: sumUnsentBytes(largeFrames.filter(large => large.socket === socket)) + (queues.get(socket)?.bytes ?? 0),
		dispose() {
			clearTimeout(timer);
		},
	};
}
