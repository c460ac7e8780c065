/**
 * Bounds the memory for the responses that a gate is reading. A response without
 * an end would otherwise take memory until the deadline of its request, and several of
 * them all the memory of the process.
 *
 * @module
 */

/** A response that is being read. @internal */
export type ResponseAccount = {
	/** Bytes that have been read. */
	bytes: number;
	/** Ends the request. */
	readonly handleExceeded: () => void;
};

/** @internal */
export type ResponseMemory = {
	readonly open: (handleExceeded: () => void) => ResponseAccount;
	/** Counts bytes of a response. If the limit is exceeded, the largest response is ended, so that small ones do not pay for an endless one. */
	readonly add: (account: ResponseAccount, bytes: number) => void;
	/** Releases the bytes of a response. May be called several times. */
	readonly close: (account: ResponseAccount) => void;
};

/**
 * @param maxBytes - Limit for all responses together.
 * @returns The memory, without any response.
 * @internal
 */
export function createResponseMemory(maxBytes: number): ResponseMemory {
	const accounts = new Set<ResponseAccount>();
	let totalBytes = 0;

	const close = (account: ResponseAccount): void => {
		if (accounts.delete(account)) {
			totalBytes -= account.bytes;
		}
	};

	const findLargest = (): ResponseAccount | undefined => {
		let largest: ResponseAccount | undefined;
		for (const account of accounts) {
			if (largest === undefined || account.bytes > largest.bytes) {
				largest = account;
			}
		}

		return largest;
	};

	return {
		open(handleExceeded) {
			const account: ResponseAccount = {bytes: 0, handleExceeded};
			accounts.add(account);
			return account;
		},
		add(account, bytes) {
			if (!accounts.has(account)) {
				return;
			}

			account.bytes += bytes;
			totalBytes += bytes;
			while (totalBytes > maxBytes) {
				const largest = findLargest()!;
				close(largest);
				largest.handleExceeded();
			}
		},
		close,
	};
}
