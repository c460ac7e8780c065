/**
 * Frames between nodes. Many requests share one connection, and decoding a frame
 * is cheaper than parsing HTTP on both sides.
 *
 * A frame consists of its length, its type, the id of the request on the connection,
 * the length of its head, the head as JSON, and the body.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import process from 'node:process';
import {FieldError} from '../common/field-error.js';

/** @internal */
export type FrameType =
	/** A request, with its body if it has one. */
	| 'request'
	/** A request whose body is sent after a `continue`. */
	| 'offer'
	/** Requests the body of an offer. */
	| 'continue'
	/** The body of an offer, or its last part. */
	| 'body'
	/** The answer, which ends a request. */
	| 'answer'
	/** The entry no longer waits for the answer. */
	| 'cancel'
	/** Requests the active configuration. */
	| 'config'
	/** Checks whether the connection is alive. */
	| 'ping'
	/** The answer to a `ping`. */
	| 'pong'
	/** Asks for tokens of quotas. */
	| 'quota'
	/** A part of the body of an offer, which is not the last one. */
	| 'piece';

const frameTypes: readonly FrameType[] = ['request', 'offer', 'continue', 'body', 'answer', 'cancel', 'config', 'ping', 'pong', 'quota', 'piece'];

/** @internal */
export type Frame = {
	readonly type: FrameType;
	/** Id of the request, chosen by the node that opened the connection. */
	readonly id: number;
	/** Any JSON value; `undefined` if the frame has no head. */
	readonly head: unknown;
	readonly body: Uint8Array;
};

/** The type, the id and the length of the head. */
const fixedHeaderBytes = 9;
const lengthFieldBytes = 4;

/** Longer frames are rejected. Larger than all request bodies that an entry holds at the same time plus a head, because responses of backend servers may be larger than these bodies. */
const maxFrameBytes = 134_217_728;

/** Longer heads are rejected. The limit fits the longest headers that callers may send, even if JSON escapes each character to six. */
const maxHeadBytes = 1_048_576;

/** Small chunks are joined when more than this many are buffered. Separate chunks of a few bytes would take about a hundred times their size. */
const maxUnjoinedChunkCount = 64;

/** Memory that a chunk takes in addition to its bytes. */
const chunkOverheadBytes = 128;

/** Chunks are joined if they are smaller than this on average, so that joining copies about this many bytes per chunk at most. */
const smallChunkBytes = 1024;

const emptyBody = Buffer.alloc(0);

/** Bodies up to this size are copied behind the head of their frame: one write of a few kilobytes is cheaper than two. */
const maxCopiedBodyBytes = 16_384;

/** A frame to send; head and body may be omitted. */
type EncodableFrame = Pick<Frame, 'type' | 'id'> & Partial<Frame>;

/**
 * Encodes the part of a frame that precedes its body.
 *
 * @param frame - The frame; head and body may be omitted.
 * @returns The bytes that precede the body.
 * @internal
 */
export function encodeFrameHead(frame: EncodableFrame): Uint8Array {
	return encodeFrame(frame, 0);
}

/** Encodes a frame up to the first `bodyBytes` bytes of its body. */
function encodeFrame({type, id, head, body = emptyBody}: EncodableFrame, bodyBytes: number): Uint8Array {
	const text = head === undefined ? '' : JSON.stringify(head);
	const headBytes = Buffer.byteLength(text);
	const bytes = Buffer.allocUnsafe(lengthFieldBytes + fixedHeaderBytes + headBytes + bodyBytes);
	bytes.writeUInt32LE(fixedHeaderBytes + headBytes + body.length, 0);
	bytes.writeUInt8(frameTypes.indexOf(type), 4);
	bytes.writeUInt32LE(id, 5);
	bytes.writeUInt32LE(headBytes, 9);
	bytes.write(text, lengthFieldBytes + fixedHeaderBytes);
	if (bodyBytes > 0) {
		bytes.set(body, lengthFieldBytes + fixedHeaderBytes + headBytes);
	}

	return bytes;
}

/**
 * Writes a frame. Frames written in the same iteration of the event loop are sent in one write.
 *
 * @param socket - The connection; if it is destroyed, nothing is written.
 * @param frame - The frame; head and body may be omitted.
 * @param handleWritten - Called once the frame was handed to the operating system, or when it cannot be.
 * @internal
 */
export function writeFrame(socket: Socket, frame: EncodableFrame, handleWritten?: () => void): void {
	if (socket.destroyed) {
		handleWritten?.();
		return;
	}

	const bodyBytes = frame.body?.length ?? 0;
	// A socket that is corked already has frames of this iteration, and is uncorked after them.
	if (socket.writableCorked === 0) {
		socket.cork();
		process.nextTick(flushSocket, socket);
	}

	if (bodyBytes <= maxCopiedBodyBytes) {
		socket.write(encodeFrame(frame, bodyBytes), handleWritten);
		return;
	}

	socket.write(encodeFrameHead(frame));
	socket.write(frame.body!, handleWritten);
}

function flushSocket(socket: Socket): void {
	socket.uncork();
}

/** Decodes frames from a stream of bytes. @internal */
export type FrameReader = {
	/** Adds received bytes and returns the frames that are now complete. Throws as soon as the bytes cannot be a frame. */
	readonly read: (bytes: Uint8Array) => readonly Frame[];
	/** Returns the memory that incomplete frames take, in bytes. */
	readonly countBufferedBytes: () => number;
};

/** Wraps the same memory in a `Buffer`, for its methods that read numbers. */
const toBuffer = (bytes: Uint8Array) => Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);

/** Checks the fixed part that precedes the head of a frame. */
function checkFixedHeader(start: ReturnType<typeof toBuffer>, length: number): void {
	const type = start.readUInt8(lengthFieldBytes);
	if (type >= frameTypes.length) {
		throw new FieldError('frame.type', type, `less than ${frameTypes.length}`);
	}

	const headBytes = start.readUInt32LE(lengthFieldBytes + 5);
	if (headBytes > Math.min(maxHeadBytes, length - fixedHeaderBytes)) {
		throw new FieldError('frame.headLength', headBytes, `at most ${maxHeadBytes} bytes, and not longer than its frame`);
	}
}

/** Decodes a complete frame whose fixed part was checked. */
function decodeFrame(whole: Uint8Array): Frame {
	const bytes = toBuffer(whole);
	const headEnd = fixedHeaderBytes + bytes.readUInt32LE(5);
	const text = bytes.toString('utf8', fixedHeaderBytes, headEnd);
	return {
		type: frameTypes[bytes.readUInt8(0)]!, id: bytes.readUInt32LE(1), head: text === '' ? undefined : JSON.parse(text) as unknown, body: bytes.subarray(headEnd),
	};
}

/**
 * Creates a decoder for the frames of one connection.
 *
 * @returns The reader, with nothing buffered.
 * @internal
 */
export function createFrameReader(): FrameReader {
	let chunks: Uint8Array[] = [];
	let bufferedBytes = 0;

	/** Joins all buffered chunks. A large body arrives in many chunks, so these are joined once its frame is complete rather than one by one. */
	const join = (): Uint8Array => {
		const [first] = chunks;
		const joined = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks, bufferedBytes);
		chunks = [joined];
		return joined;
	};

	/** Joins chunks that are small on average, since each takes memory beyond its own bytes. */
	const joinSmallChunks = (): void => {
		if (chunks.length > maxUnjoinedChunkCount && bufferedBytes < chunks.length * smallChunkBytes) {
			join();
		}
	};

	/** Reads and checks the lengths as soon as they have arrived, so that a frame that is too long is rejected before it is buffered. */
	const readNextLength = (): number | undefined => {
		const [first] = chunks;
		if (bufferedBytes < lengthFieldBytes || first === undefined) {
			return undefined;
		}

		const start = toBuffer(first.length >= Math.min(bufferedBytes, lengthFieldBytes + fixedHeaderBytes) ? first : join());
		const length = start.readUInt32LE(0);
		if (length < fixedHeaderBytes || length > maxFrameBytes) {
			throw new FieldError('frame.length', length, `${fixedHeaderBytes} to ${maxFrameBytes} bytes`);
		}

		if (start.length >= lengthFieldBytes + fixedHeaderBytes) {
			checkFixedHeader(start, length);
		}

		return length;
	};

	return {
		read(bytes) {
			chunks.push(bytes);
			bufferedBytes += bytes.length;
			joinSmallChunks();
			const frames: Frame[] = [];
			for (let length = readNextLength(); length !== undefined && bufferedBytes >= lengthFieldBytes + length; length = readNextLength()) {
				const joined = join();
				frames.push(decodeFrame(joined.subarray(lengthFieldBytes, lengthFieldBytes + length)));
				bufferedBytes -= lengthFieldBytes + length;
				chunks = bufferedBytes === 0 ? [] : [joined.subarray(lengthFieldBytes + length)];
			}

			return frames;
		},
		countBufferedBytes: () => bufferedBytes + (chunks.length * chunkOverheadBytes),
	};
}
