/**
 * A request as the quarantine looks at it. Nothing is computed before it is
 * asked for: nobody is suspected on most days.
 *
 * @module
 */
import {
	computeHeadFingerprint, formatHead, joinFingerprint, type Fingerprint, type HeadFingerprint, type RequestIdentity,
} from './fingerprint.js';

/** @internal */
export type RequestMark = {
	readonly hasBody: boolean;
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
export function createRequestMark(identity: RequestIdentity): RequestMark {
	const {body} = identity;
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
		hasBody: body !== undefined && body.length > 0,
		getHead,
		getHeadFingerprint,
		getFingerprint() {
			fingerprint ??= joinFingerprint(getHeadFingerprint(), body);
			return fingerprint;
		},
	};
}
