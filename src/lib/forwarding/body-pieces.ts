/**
 * The body of an offered request at the gate, which arrives whole or in pieces. Between pieces the sender can withdraw the rest.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type ForwardReason} from './forward-result.js';

/** The body of an offered request will not be received in time, so that the request is not executed. @internal */
export class BodyNotReceivedError extends Error {
	constructor(readonly reason: ForwardReason, message: string) {
		super(message);
	}
}

/** Head of a `continue` by which a gate says that the body may arrive in pieces. Nodes of earlier releases send none and expect a whole body. */
const piecesHead = {pieces: 1};

/** Memory that a piece takes in addition to its bytes. */
const pieceOverheadBytes = 128;

/** @internal */
export type IncomingBody = {
	/** When the body is expected to be complete, in milliseconds of the steady clock. */
	readonly expectedAt: number;
	/** Adds a piece that is not the last one. Returns the bytes of memory that it takes. */
	readonly addPiece: (piece: Uint8Array) => number;
	/** Completes the body with its last piece. */
	readonly finish: (lastPiece: Uint8Array) => void;
	/** Returns the sum of what `addPiece` returned. */
	readonly countBytes: () => number;
};

/** @returns The head of a `continue` to a node that may send the body in pieces. @internal */
export const encodeContinue = (): unknown => piecesHead;

/**
 * @param head - The head of a `continue`.
 * @returns Whether the gate accepts the body in pieces.
 * @internal
 */
export function maySendPieces(head: unknown): boolean {
	return typeof head === 'object' && head !== null && (head as Readonly<Record<string, unknown>>).pieces === piecesHead.pieces;
}

/**
 * @param expectedAt - When the body is expected to be complete, in milliseconds of the steady clock.
 * @param handleBody - Called with the complete body.
 * @returns A body of which nothing has arrived.
 * @internal
 */
export function createIncomingBody(expectedAt: number, handleBody: (body: Uint8Array) => void): IncomingBody {
	const pieces: Uint8Array[] = [];
	let bytes = 0;
	return {
		expectedAt,
		addPiece(piece) {
			const pieceBytes = piece.length + pieceOverheadBytes;
			pieces.push(piece);
			bytes += pieceBytes;
			return pieceBytes;
		},
		finish(lastPiece) {
			handleBody(pieces.length === 0 ? lastPiece : Buffer.concat([...pieces, lastPiece]));
		},
		countBytes: () => bytes,
	};
}
