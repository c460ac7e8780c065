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
	readonly writeFirst: (socket: Socket, frame: LinkFrame) => void;
	/** Nobody waits for a frame any more: one that has not begun to leave stays here. */
	readonly cancel: (socket: Socket, id: number) => void;
	/** Large frames that have not been handed to the system as a whole. */
	readonly countWaiting: () => number;
	/** Bytes that wait here, for one connection or for all. */
	readonly countHeldBytes: (socket?: Socket) => number;
	readonly dispose: () => void;
};

/** Bodies above this size take part. Bytes: on the slowest links of the users it takes twelve milliseconds, as long as a few small answers. */
const largeBytes = 16_384;

/** How long the system may take for a piece before another frame goes on. Milliseconds. */
const leastWaitMs = 5;

/** A large frame that waits, or is on its way. */
type Sending = {
	readonly socket: Socket;
	readonly frame: LinkFrame;
	readonly handleWritten: (() => void) | undefined;
	readonly body: Uint8Array;
	/** Bytes of the body that were handed over. */
	sentBytes: number;
	hasBegun: boolean;
	/** The system has not taken the last piece yet: whoever should read it does not. */
	isBlocked: boolean;
};

/** A frame with whoever is told that it was taken. */
type Written = readonly [frame: LinkFrame, handleWritten: (() => void) | undefined];

/** Frames that came while another one was leaving on the same connection. */
type Line = {
	readonly behind: Written[];
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
	let sendings: Sending[] = [];
	/** Connections on which a large frame is on its way. */
	const lines = new Map<Socket, Line>();
	let timer: NodeJS.Timeout | undefined;

	const writeNow = (socket: Socket, frame: LinkFrame, handleWritten?: () => void): void => {
		pacer.note(frame.body?.length ?? 0, readSteadyMs());
		writeFrame(socket, frame, handleWritten);
	};

	const drop = (sending: Sending): void => {
		sendings = sendings.filter(one => one !== sending);
	};

	/** The connection is free again: what came meanwhile follows. */
	const endLine = (socket: Socket): void => {
		const line = lines.get(socket);
		lines.delete(socket);
		for (const [frame, handleWritten] of line?.behind ?? []) {
			writeNow(socket, frame, handleWritten);
		}
	};

	const finish = (sending: Sending): void => {
		drop(sending);
		if (sending.hasBegun) {
			endLine(sending.socket);
		}

		sending.handleWritten?.();
	};

	const startSending = (sending: Sending): void => {
		const {socket, frame} = sending;
		sending.hasBegun = true;
		lines.set(socket, {behind: [], bytes: 0});
		socket.cork();
		socket.write(encodeFrameHead(frame));
		process.nextTick(() => {
			socket.uncork();
		});
	};

	const writePiece = (sending: Sending): void => {
		const {socket, body} = sending;
		if (!sending.hasBegun) {
			startSending(sending);
		}

		const piece = body.subarray(sending.sentBytes, sending.sentBytes + pacer.pieceBytes);
		sending.sentBytes += piece.length;
		sending.isBlocked = true;
		pacer.note(piece.length, readSteadyMs());
		socket.write(piece, () => {
			sending.isBlocked = false;
			if (sending.sentBytes >= body.length) {
				finish(sending);
			}

			sendMore();
		});
	};

	/** One large frame at a time on a connection; one whose connection has closed takes no room. */
	const mayContinue = ({socket, hasBegun, isBlocked, sentBytes, body}: Sending): boolean =>
		!isBlocked && sentBytes < body.length && (hasBegun || !lines.has(socket));

	const dropClosed = (): void => {
		for (const sending of sendings.filter(({socket}) => socket.destroyed)) {
			drop(sending);
			lines.delete(sending.socket);
		}
	};

	const sendMore = (): void => {
		clearTimeout(timer);
		timer = undefined;
		dropClosed();
		const next = sendings.find(sending => mayContinue(sending));
		if (next === undefined) {
			return;
		}

		const waitMs = pacer.computeWaitMs(readSteadyMs());
		if (waitMs === 0) {
			writePiece(next);
		}

		// The system mostly takes a piece at once, and the same frame goes on; if it does not by then, another one does.
		timer = setTimeout(sendMore, Math.max(waitMs, leastWaitMs));
	};

	const writeFirst = (socket: Socket, frame: LinkFrame, handleWritten?: () => void): void => {
		const line = lines.get(socket);
		if (line === undefined) {
			writeNow(socket, frame, handleWritten);
			return;
		}

		line.behind.push([frame, handleWritten]);
		line.bytes += frame.body?.length ?? 0;
	};

	return {
		write(socket, frame, handleWritten) {
			const {body} = frame;
			if (body === undefined || body.length <= largeBytes) {
				writeFirst(socket, frame, handleWritten);
				return;
			}

			sendings.push({
				socket, frame, handleWritten, body, sentBytes: 0, hasBegun: false, isBlocked: false,
			});
			if (timer === undefined) {
				sendMore();
			}
		},
		writeFirst,
		cancel(socket, id) {
			const waiting = sendings.find(sending => sending.socket === socket && sending.frame.id === id && !sending.hasBegun);
			if (waiting !== undefined) {
				drop(waiting);
			}
		},
		countWaiting: () => sendings.length,
		countHeldBytes(socket) {
			let sum = 0;
			for (const sending of sendings) {
				sum += socket === undefined || sending.socket === socket ? sending.body.length - sending.sentBytes : 0;
			}

			return sum + (socket === undefined ? 0 : lines.get(socket)?.bytes ?? 0);
		},
		dispose() {
			clearTimeout(timer);
		},
	};
}
