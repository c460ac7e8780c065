/**
 * What makes two requests the same one to a backend server: method, host, target
 * and body. Ids, deadlines and attempts do not count, nor does the service that
 * asks: the same request comes at nodes beside servers of any service, and was
 * three requests then, each of which ended three servers.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {cutPort} from '../route-config/route-index.js';

/** What a backend server is asked. @internal */
export type RequestIdentity = {
	readonly method: string;
	/** As the caller named it; its port does not count. */
	readonly host: string;
	/** Path and query. */
	readonly target: string;
	/** `undefined` if there is none. */
	readonly body: Uint8Array | undefined;
};

/** Stands for all requests of one identity: two digests, of the head and of the body. @internal */
export type Fingerprint = string & {readonly __kind: 'Fingerprint'};

/** The part of a fingerprint that is known before the body is. @internal */
export type HeadFingerprint = string & {readonly __kind: 'HeadFingerprint'};

/** Characters of each digest, six bits each: among the requests of a day two with the same 48 bits are not to be expected (a million of them: one in 500 days). */
const digestLength = 8;

/** Stands for no body. */
const noBodyDigest = '-'.repeat(digestLength);

const fingerprintPattern = new RegExp(`^[\\w-]{${digestLength}}\\.[\\w-]{${digestLength}}$`);

function computeDigest(content: string | Uint8Array): string {
	return createHash('sha256').update(content).digest('base64url').slice(0, digestLength);
}

/**
 * Writes the head of a request as one text. No part of it holds a line break, so two heads with the same text are the same.
 *
 * @param identity - The request.
 * @returns A text for keys of maps.
 * @internal
 */
export function formatHead({method, host, target}: Omit<RequestIdentity, 'body'>): string {
	return `${method}\n${cutPort(host)}\n${target}`;
}

/**
 * @param head - The head of a request, by `formatHead`.
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
 * @returns The whole fingerprint. One that is no digest stands for a body that nothing is known of: it matches no other.
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
 * @returns The part of it that the head makes.
 * @internal
 */
export function getHeadPart(fingerprint: Fingerprint): HeadFingerprint {
	return fingerprint.slice(0, digestLength) as HeadFingerprint;
}

/**
 * @param fingerprint - A fingerprint.
 * @returns The part of it that the body makes.
 * @internal
 */
export const getBodyPart = (fingerprint: Fingerprint): string => fingerprint.slice(digestLength + 1);

/**
 * @param value - What came over the network.
 * @returns The fingerprint, or `undefined` if it is none.
 * @internal
 */
export function parseFingerprint(value: unknown): Fingerprint | undefined {
	return typeof value === 'string' && fingerprintPattern.test(value) ? value as Fingerprint : undefined;
}
