/**
 * Sends frames over the link of this VM, large ones piece by piece and no
 * faster than the link carries them. Handed over all at once they would hold up
 * whatever is sent after them, for as long as all of them take: a new
 * connection, a question for the configuration, a heartbeat, a small answer.
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
	/** Writes a frame; one with a large body when the link has room. Frames of one connection never mix. Calls back once the connection has taken it. */
	readonly write: (socket: Socket, frame: LinkFrame, handleWritten?: () => void) => void;
	/** Writes a frame before all that wait for the link, whatever its size. */
	readonly writeUrgent: (socket: Socket, frame: LinkFrame) => void;
	/** Nobody waits for a frame any more: one that has not begun to leave stays here. */
	readonly cancel: (socket: Socket, id: number) => void;
	/** Large frames that have not been handed to the system as a whole. */
	readonly countQueued: () => number;
	/** Bytes that wait here, for one connection or for all. */
	readonly countQueuedBytes: (socket?: Socket) => number;
	readonly dispose: () => void;
};

/** Bodies above this size take part. Bytes: on the slowest links of the users it takes twelve milliseconds, as long as a few small answers. */
const largeBodyBytes = 16_384;

/** How long the system may take for a piece before another frame goes on. Milliseconds. */
const minWaitMs = 5;

/** A large frame that waits, or is on its way. */
type LargeFrame = {
	readonly socket: Socket;
	readonly frame: LinkFrame;
	readonly handleWritten: (() => void) | undefined;
	readonly body: Uint8Array;
	/** Bytes of the body that were handed over. */
	sentBytes: number;
	isStarted: boolean;
	/** The system has not taken the last piece yet: whoever should read it does not. */
	isBlocked: boolean;
};

/** A frame with whoever is told that it was taken. */
type QueuedFrame = readonly [frame: LinkFrame, handleWritten: (() => void) | undefined];

/** Frames that came while another one was leaving on the same connection. */
type FrameQueue = {
	readonly frames: QueuedFrame[];
	bytes: number;
};

/**
 * @param linkMbps - Megabits a second of the link.
 * @returns What writes frames; none is on its way.
 * @internal
 */
export function createLinkWriter(linkMbps: number): LinkWriter {
	const pacer = createLinkPacer(linkMbps);
	/** In the order in which they came. The first that is not blocked goes on, so that few are on their way at once. */
	let largeFrames: LargeFrame[] = [];
	/** Connections on which a large frame is on its way. */
	const queues = new Map<Socket, FrameQueue>();
	let timer: NodeJS.Timeout | undefined;

	const writeNow = (socket: Socket, frame: LinkFrame, handleWritten?: () => void): void => {
		pacer.record(frame.body?.length ?? 0, readSteadyMs());
		writeFrame(socket, frame, handleWritten);
	};

	const remove = (large: LargeFrame): void => {
		largeFrames = largeFrames.filter(other => other !== large);
	};

	/** The connection is free again: what came meanwhile follows. */
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

	/** One large frame at a time on a connection; one whose connection has closed takes no room. */
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

		// The system mostly takes a piece at once, and the same frame goes on; if it does not by then, another one does.
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
