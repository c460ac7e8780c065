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
const fixedBytes = 9;
const lengthBytes = 4;

/** A longer frame is no frame of ours. Bytes: larger than any body that operators allow. */
const maxFrameBytes = 268_435_456;

const nothing = Buffer.alloc(0);

/**
 * @param frame - A frame; its head and body may be left out.
 * @returns Its bytes, without those of the body.
 * @internal
 */
export function encodeFrameHead({type, id, head, body = nothing}: Pick<Frame, 'type' | 'id'> & Partial<Frame>): Uint8Array {
	const text = head === undefined ? '' : JSON.stringify(head);
	const headBytes = Buffer.byteLength(text);
	const bytes = Buffer.allocUnsafe(lengthBytes + fixedBytes + headBytes);
	bytes.writeUInt32LE(fixedBytes + headBytes + body.length, 0);
	bytes.writeUInt8(frameTypes.indexOf(type), 4);
	bytes.writeUInt32LE(id, 5);
	bytes.writeUInt32LE(headBytes, 9);
	bytes.write(text, lengthBytes + fixedBytes);
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
	/** Takes bytes; yields the frames that are whole now. Throws if the bytes are no frames. */
	readonly read: (bytes: Uint8Array) => readonly Frame[];
};

/** The same bytes, with the methods that read numbers. */
const toBuffer = ({buffer, byteOffset, byteLength}: Uint8Array) => Buffer.from(buffer, byteOffset, byteLength);

function decodeFrame(whole: Uint8Array): Frame {
	const bytes = toBuffer(whole);
	const type = frameTypes[bytes.readUInt8(0)];
	const headEnd = fixedBytes + bytes.readUInt32LE(5);
	if (type === undefined || headEnd > bytes.length) {
		throw new Error('bytes that are no frame');
	}

	const text = bytes.toString('utf8', fixedBytes, headEnd);
	return {
		type, id: bytes.readUInt32LE(1), head: text === '' ? undefined : JSON.parse(text) as unknown, body: bytes.subarray(headEnd),
	};
}

/**
 * @returns A reader that has seen nothing yet.
 * @internal
 */
export function createFrameReader(): FrameReader {
	let chunks: Uint8Array[] = [];
	let held = 0;

	/** Joins what is held only when a frame is whole: a large body comes in many pieces. */
	const join = (): Uint8Array => {
		const [first] = chunks;
		const joined = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks, held);
		chunks = [joined];
		return joined;
	};

	const getNextLength = (): number | undefined => {
		const [first] = chunks;
		if (held < lengthBytes || first === undefined) {
			return undefined;
		}

		return toBuffer(first.length >= lengthBytes ? first : join()).readUInt32LE(0);
	};

	return {
		read(bytes) {
			chunks.push(bytes);
			held += bytes.length;
			const frames: Frame[] = [];
			for (let length = getNextLength(); length !== undefined && held >= lengthBytes + length; length = getNextLength()) {
				const joined = join();
				frames.push(decodeFrame(joined.subarray(lengthBytes, lengthBytes + length)));
				held -= lengthBytes + length;
				chunks = held === 0 ? [] : [joined.subarray(lengthBytes + length)];
			}

			if ((getNextLength() ?? 0) > maxFrameBytes) {
				throw new Error('a frame that is too long to be one');
			}

			return frames;
		},
	};
}
