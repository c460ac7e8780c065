/**
 * Fingerprint by which two requests are the same for a backend server: method, host,
 * target and body. Ids, deadlines and attempts are not part of it, nor is the calling
 * service: the same request arrives at nodes beside servers of any service, and with
 * one fingerprint per calling service each of them could crash three servers.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {normalizeHost} from '../route-config/route-index.js';

/** The parts of a request that a fingerprint covers. @internal */
export type RequestIdentity = {
	readonly method: string;
	/** Host as sent by the caller; its port is ignored. */
	readonly host: string;
	/** Path and query. */
	readonly target: string;
	/** Body of the request; `undefined` if there is none. */
	readonly body: Uint8Array | undefined;
};

/** Identifies all requests with the same parts: digests of the head and of the body, joined by a dot. @internal */
export type Fingerprint = string & {readonly __kind: 'Fingerprint'};

/** Digest of the head, the part of a fingerprint that is known before the body is. @internal */
export type HeadFingerprint = string & {readonly __kind: 'HeadFingerprint'};

/** Characters of each digest, six bits each. With 48 bits and a million different requests a day, a collision is expected once in 500 days. */
const digestLength = 8;

/** Digest of a request without a body. */
const noBodyDigest = '-'.repeat(digestLength);

const fingerprintPattern = new RegExp(`^[\\w-]{${digestLength}}\\.[\\w-]{${digestLength}}$`);

function computeDigest(content: string | Uint8Array): string {
	return createHash('sha256').update(content).digest('base64url').slice(0, digestLength);
}

/**
 * Formats the head of a request as one text. No part of it contains a line break, so heads are equal if their texts are.
 *
 * @param identity - The request.
 * @returns The text, to use as a key of maps.
 * @internal
 */
export function formatHead({method, host, target}: Omit<RequestIdentity, 'body'>): string {
	return `${method}\n${normalizeHost(host)}\n${target}`;
}

/**
 * @param head - Head of a request, as returned by `formatHead`.
 * @returns Its digest.
 * @internal
 */
export function computeHeadFingerprint(head: string): HeadFingerprint {
	return computeDigest(head) as HeadFingerprint;
}

/**
 * @param head - Digest of the head.
 * @param body - The body.
 * @returns The whole fingerprint.
 * @internal
 */
export function joinFingerprint(head: HeadFingerprint, body: Uint8Array | undefined): Fingerprint {
	return `${head}.${body === undefined || body.length === 0 ? noBodyDigest : computeDigest(body)}` as Fingerprint;
}

/**
 * @param head - Digest of the head.
 * @param bodyDigest - Digest of the body; `undefined` if there is none.
 * @returns The whole fingerprint. A `bodyDigest` that is not a digest means that the body is unknown: such a fingerprint matches no other.
 * @internal
 */
export const joinBodyDigest = (head: HeadFingerprint, bodyDigest: string | undefined): Fingerprint => `${head}.${bodyDigest ?? noBodyDigest}` as Fingerprint;

/**
 * @param identity - A request.
 * @returns Its fingerprint.
 * @internal
 */
export function computeFingerprint(identity: RequestIdentity): Fingerprint {
	return joinFingerprint(computeHeadFingerprint(formatHead(identity)), identity.body);
}

/**
 * @param fingerprint - A fingerprint.
 * @returns The digest of the head.
 * @internal
 */
export function getHeadPart(fingerprint: Fingerprint): HeadFingerprint {
	return fingerprint.slice(0, digestLength) as HeadFingerprint;
}

/**
 * @param fingerprint - A fingerprint.
 * @returns The digest of the body.
 * @internal
 */
export const getBodyPart = (fingerprint: Fingerprint): string => fingerprint.slice(digestLength + 1);

/**
 * @param value - A value from the network.
 * @returns The fingerprint, or `undefined` if the value is not a fingerprint.
 * @internal
 */
export function parseFingerprint(value: unknown): Fingerprint | undefined {
	return typeof value === 'string' && fingerprintPattern.test(value) ? value as Fingerprint : undefined;
}
