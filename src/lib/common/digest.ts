/**
 * Digests over canonical JSON (RFC 8785), so that two nodes that hold the same
 * data compute the same digest whatever order its fields were written in.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import serialize from 'canonicalize';
import {toDigest, type Digest} from './ids.js';

/**
 * Computes the digest of a text.
 *
 * @param text - What to digest; read as UTF-8.
 * @returns SHA-256, base64url.
 * @internal
 */
export function computeDigest(text: string): Digest {
	return toDigest(createHash('sha256').update(text).digest('base64url'));
}

/**
 * Writes a JSON value in its one canonical form.
 *
 * @param value - Any JSON value.
 * @returns Its RFC 8785 text; `null` for a value that JSON cannot hold.
 * @internal
 */
export function formatCanonical(value: unknown): string {
	return serialize(value) ?? 'null';
}
