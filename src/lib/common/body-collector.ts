/**
 * Collects the parts of a body. A part of a few bytes costs many times its size as an object of its own, and keeps the
 * whole read buffer that it is a view of, so that a server which sends many of them could take all the memory of the
 * process although it sends little.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** @internal */
export type BodyCollector = {
	readonly append: (part: Uint8Array) => void;
	readonly countBytes: () => number;
	/** Joins the parts to the body. */
	readonly build: () => Uint8Array;
};

/** Smaller parts are copied together. */
const minPartBytes = 4096;

/** Size of the buffers into which small parts are copied. */
const blockBytes = 16_384;

/**
 * @returns A collector without any part.
 * @internal
 */
export function createBodyCollector(): BodyCollector {
	const parts: Uint8Array[] = [];
	let bytes = 0;
	/** The block that small parts are copied into; its first `used` bytes are in use, those from `start` on in no part yet. */
	let block: Uint8Array | undefined;
	let start = 0;
	let used = 0;

	const closeRun = (): void => {
		if (block !== undefined && used > start) {
			parts.push(block.subarray(start, used));
			start = used;
		}
	};

	const addSmallPart = (part: Uint8Array): void => {
		if (block === undefined || block.length - used < part.length) {
			closeRun();
			block = Buffer.allocUnsafeSlow(blockBytes);
			start = 0;
			used = 0;
		}

		block.set(part, used);
		used += part.length;
	};

	return {
		append(part) {
			if (part.length === 0) {
				return;
			}

			bytes += part.length;
			// Most bodies arrive in one part, which is not copied.
			if (part.length >= minPartBytes || bytes === part.length) {
				closeRun();
				parts.push(part);
				return;
			}

			addSmallPart(part);
		},
		countBytes: () => bytes,
		build() {
			closeRun();
			return parts.length === 1 ? parts[0]! : Buffer.concat(parts, bytes);
		},
	};
}
