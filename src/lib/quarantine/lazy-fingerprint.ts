/**
 * A request as the quarantine looks at it. Nothing is computed before it is
 * asked for: nobody is suspected on most days.
 *
 * @module
 */
import {
	computeHeadFingerprint, getBodyPart, formatHead, joinBodyDigest, joinFingerprint, type Fingerprint, type HeadFingerprint, type RequestIdentity,
} from './fingerprint.js';

/** @internal */
export type LazyFingerprint = {
	readonly hasBody: boolean;
	/** The host that counts. */
	readonly host: string;
	/** The head as text, for keys of maps. */
	readonly getHead: () => string;
	readonly getHeadFingerprint: () => HeadFingerprint;
	readonly getFingerprint: () => Fingerprint;
};

/**
 * @param identity - The request.
 * @returns Its mark.
 * @internal
 */
export function createLazyFingerprint(identity: RequestIdentity): LazyFingerprint {
	const {body} = identity;
	return buildLazyFingerprint(identity, body !== undefined && body.length > 0, head => joinFingerprint(head, body));
}

/**
 * @param identity - A request whose body another node holds.
 * @param bodyDigest - The digest of the body, by `getBodyDigest`; `undefined` if there is none.
 * @returns Its mark.
 * @internal
 */
export function createLazyFingerprintOfDigest(identity: Omit<RequestIdentity, 'body'>, bodyDigest: string | undefined): LazyFingerprint {
	return buildLazyFingerprint(identity, bodyDigest !== undefined, head => joinBodyDigest(head, bodyDigest));
}

/**
 * @param mark - A request.
 * @returns The digest of its body.
 * @internal
 */
export const getBodyDigest = (mark: LazyFingerprint): string => getBodyPart(mark.getFingerprint());

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
