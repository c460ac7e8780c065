/**
 * Writes a long body in parts, so that it is seen whether its reader makes progress.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';

/** Bytes of a part. Bodies that are not longer are written at once. */
const partBytes = 262_144;

/**
 * Writes a body and ends the response.
 *
 * @param response - The response, whose head was written.
 * @param body - The body.
 * @param handleProgress - Called when the reader has taken a part.
 * @internal
 */
export function writeInParts(response: ServerResponse, body: Uint8Array, handleProgress: () => void): void {
	let written = 0;
	const writeNext = (): void => {
		const part = body.subarray(written, written + partBytes);
		written += part.length;
		if (written >= body.length) {
			response.end(part);
			return;
		}

		response.write(part, error => {
			if (error === null || error === undefined) {
				handleProgress();
				writeNext();
			}
		});
	};

	writeNext();
}
