/**
 * Frames between nodes: many requests share one connection, and each is read
 * by one short function instead of an HTTP parser on both sides.
 *
 * A frame is its length, its type, the id of the request on its connection, the
 * length of its head, the head as JSON, and the body.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import process from 'node:process';
import {FieldError} from '../common/field-error.js';

/** What a frame is. @internal */
export type FrameType =
	/** A request with its body, if it has one. */
	| 'request'
	/** A request whose body follows once it is asked for. */
	| 'offer'
	/** Asks for the body of an offer. */
	| 'continue'
	/** The body of an offer. */
	| 'body'
	/** The answer, which ends a request. */
	| 'answer'
	/** Whoever asked does not wait any more. */
	| 'cancel'
	/** Asks for the configuration in force. */
	| 'config'
	/** Asks whether anything still arrives. */
	| 'ping'
	/** Says so. */
	| 'pong';

const frameTypes: readonly FrameType[] = ['request', 'offer', 'continue', 'body', 'answer', 'cancel', 'config', 'ping', 'pong'];

/** @internal */
export type Frame = {
	readonly type: FrameType;
	/** Chosen by whoever opened the connection. */
	readonly id: number;
	/** Any JSON; `undefined` for none. */
	readonly head: unknown;
	readonly body: Uint8Array;
};

/** Type, id and length of the head. */
const fixedHeaderBytes = 9;
const lengthFieldBytes = 4;

/** A longer frame is no frame of ours. Bytes: what an entry holds of all bodies together, which an answer of a backend server may pass, and a head. */
const maxFrameBytes = 134_217_728;

/** A longer head is no head of ours. Bytes: the longest that callers may send, each character of it written as six in JSON. */
const maxHeadBytes = 1_048_576;

/** So many pieces are held before small ones are joined: what comes in pieces of a few bytes would take a hundred times their memory. */
const maxUnjoinedChunkCount = 64;

/** Memory that a piece takes beside its own bytes. */
const chunkOverheadBytes = 128;

/** Pieces that are smaller on average are joined. Bytes: each piece more costs a copy of so many. */
const smallChunkBytes = 1024;

const emptyBody = Buffer.alloc(0);

/**
 * @param frame - A frame; its head and body may be left out.
 * @returns Its bytes, without those of the body.
 * @internal
 */
export function encodeFrameHead({type, id, head, body = emptyBody}: Pick<Frame, 'type' | 'id'> & Partial<Frame>): Uint8Array {
	const text = head === undefined ? '' : JSON.stringify(head);
	const headBytes = Buffer.byteLength(text);
	const bytes = Buffer.allocUnsafe(lengthFieldBytes + fixedHeaderBytes + headBytes);
	bytes.writeUInt32LE(fixedHeaderBytes + headBytes + body.length, 0);
	bytes.writeUInt8(frameTypes.indexOf(type), 4);
	bytes.writeUInt32LE(id, 5);
	bytes.writeUInt32LE(headBytes, 9);
	bytes.write(text, lengthFieldBytes + fixedHeaderBytes);
	return bytes;
}

/**
 * Writes a frame. Several frames of one turn of the loop leave in one write.
 *
 * @param socket - Where to; nothing is written to one that is destroyed.
 * @param frame - The frame; its head and body may be left out.
 * @param handleWritten - Called once the connection has taken it, or will not.
 * @internal
 */
export function writeFrame(socket: Socket, frame: Parameters<typeof encodeFrameHead>[0], handleWritten?: () => void): void {
	if (socket.destroyed) {
		handleWritten?.();
		return;
	}

	socket.cork();
	const hasBody = frame.body !== undefined && frame.body.length > 0;
	socket.write(encodeFrameHead(frame), hasBody ? undefined : handleWritten);
	if (hasBody) {
		socket.write(frame.body, handleWritten);
	}

	process.nextTick(() => {
		socket.uncork();
	});
}

/** Reads frames out of a stream of bytes. @internal */
export type FrameReader = {
	/** Takes bytes; yields the frames that are whole now. Throws as soon as the bytes cannot be frames. */
	readonly read: (bytes: Uint8Array) => readonly Frame[];
	/** Memory that is held for a frame that is not whole yet. Bytes. */
	readonly countBufferedBytes: () => number;
};

/** The same bytes, with the methods that read numbers. */
const toBuffer = ({buffer, byteOffset, byteLength}: Uint8Array) => Buffer.from(buffer, byteOffset, byteLength);

/** Checks what stands before the head of a frame: its type, its id and the length of its head. */
function checkFixedHeader(start: ReturnType<typeof toBuffer>, length: number): void {
	const type = start.readUInt8(lengthFieldBytes);
	if (type >= frameTypes.length) {
		throw new FieldError('frame.type', type, `less than ${frameTypes.length}`);
	}

	const headBytes = start.readUInt32LE(lengthFieldBytes + 5);
	if (headBytes > Math.min(maxHeadBytes, length - fixedHeaderBytes)) {
		throw new FieldError('frame.headLength', headBytes, `${maxHeadBytes} bytes at the most, and not longer than its frame`);
	}
}

/** Decodes a frame whose fixed part was checked. */
function decodeFrame(whole: Uint8Array): Frame {
	const bytes = toBuffer(whole);
	const headEnd = fixedHeaderBytes + bytes.readUInt32LE(5);
	const text = bytes.toString('utf8', fixedHeaderBytes, headEnd);
	return {
		type: frameTypes[bytes.readUInt8(0)]!, id: bytes.readUInt32LE(1), head: text === '' ? undefined : JSON.parse(text) as unknown, body: bytes.subarray(headEnd),
	};
}

/**
 * @returns A reader that has seen nothing yet.
 * @internal
 */
export function createFrameReader(): FrameReader {
	let chunks: Uint8Array[] = [];
	let bufferedBytes = 0;

	/** Joins what is held only when a frame is whole: a large body comes in many pieces. */
	const join = (): Uint8Array => {
		const [first] = chunks;
		const joined = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks, bufferedBytes);
		chunks = [joined];
		return joined;
	};

	/** Joins small pieces: each costs some hundred bytes beside its own. */
	const joinSmallChunks = (): void => {
		if (chunks.length > maxUnjoinedChunkCount && bufferedBytes < chunks.length * smallChunkBytes) {
			join();
		}
	};

	/** Reads lengths as soon as they are there: a frame that is too long is not waited for. */
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
