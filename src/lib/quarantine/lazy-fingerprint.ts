/**
 * Fingerprint of a request that is computed when it is first needed: most of the
 * time no request is suspected, and no digest is computed.
 *
 * @module
 */
import {
	computeHeadFingerprint, getBodyPart, formatHead, joinBodyDigest, joinFingerprint, type Fingerprint, type HeadFingerprint, type RequestIdentity,
} from './fingerprint.js';

/** @internal */
export type LazyFingerprint = {
	readonly hasBody: boolean;
	/** Host of the request, as in its identity. */
	readonly host: string;
	/** Returns the head as text, to use as a key of maps. */
	readonly getHead: () => string;
	readonly getHeadFingerprint: () => HeadFingerprint;
	readonly getFingerprint: () => Fingerprint;
};

/**
 * @param identity - The request.
 * @returns Its lazy fingerprint.
 * @internal
 */
export function createLazyFingerprint(identity: RequestIdentity): LazyFingerprint {
	const {body} = identity;
	return buildLazyFingerprint(identity, body !== undefined && body.length > 0, head => joinFingerprint(head, body));
}

/**
 * @param identity - A request whose body is at another node.
 * @param bodyDigest - Digest of the body, as returned by `getBodyDigest`; `undefined` if there is none.
 * @returns Its lazy fingerprint.
 * @internal
 */
export function createLazyFingerprintOfDigest(identity: Omit<RequestIdentity, 'body'>, bodyDigest: string | undefined): LazyFingerprint {
	return buildLazyFingerprint(identity, bodyDigest !== undefined, head => joinBodyDigest(head, bodyDigest));
}

/**
 * @param request - Fingerprint of a request.
 * @returns The digest of its body.
 * @internal
 */
export const getBodyDigest = (request: LazyFingerprint): string => getBodyPart(request.getFingerprint());

function buildLazyFingerprint(identity: Omit<RequestIdentity, 'body'>, hasBody: boolean, join: (head: HeadFingerprint) => Fingerprint): LazyFingerprint {
	let head: string | undefined;
	let headFingerprint: HeadFingerprint | undefined;
	let fingerprint: Fingerprint | undefined;
	const getHead = (): string => {
		head ??= formatHead(identity);
		return head;
	};

	const getHeadFingerprint = (): HeadFingerprint => {
		headFingerprint ??= computeHeadFingerprint(getHead());
		return headFingerprint;
	};

	return {
		hasBody,
		host: identity.host,
		getHead,
		getHeadFingerprint,
		getFingerprint() {
			fingerprint ??= join(getHeadFingerprint());
			return fingerprint;
		},
	};
}
