/**
 * Digests and canonical JSON (RFC 8785). Nodes that hold the same data compute
 * the same digest, regardless of the order of its fields.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import serialize from 'canonicalize';
import {toDigest, type Digest} from './ids.js';

/**
 * Computes the digest of a text.
 *
 * @param text - The text, encoded as UTF-8.
 * @returns SHA-256, base64url.
 * @internal
 */
export function computeDigest(text: string): Digest {
	return toDigest(createHash('sha256').update(text).digest('base64url'));
}

/**
 * Formats a value as canonical JSON.
 *
 * @param value - Any JSON value.
 * @returns Its RFC 8785 text, or the text `null` if JSON cannot represent the value.
 * @internal
 */
export function formatCanonical(value: unknown): string {
	return serialize(value) ?? 'null';
}
