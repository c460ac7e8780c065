/**
 * Bounds the memory for the responses that a gate is reading. While little is left, most
 * of them are not read further, so that their servers wait. A response without an end
 * would otherwise take memory until the deadline of its request.
 *
 * @module
 */
import {type MemoryAccount, type MemoryLedger} from '../memory/memory-ledger.js';

/** A response that is being read. @internal */
export type ResponseAccount = {
	/** Ends the request. */
	readonly handleExceeded: () => void;
	/** The connection of the response; `undefined` while there is none. */
	connection: ResponseConnection | undefined;
	/** Bytes that have been read. */
	bytes: number;
	/** What is counted; `undefined` for a short response. */
	held: MemoryAccount | undefined;
	isPaused: boolean;
};

/** The connection of a response. @internal */
export type ResponseConnection = {
	/** Stops reading, or goes on. */
	readonly setReading: (isReading: boolean) => void;
};

/** @internal */
export type ResponseMemory = {
	readonly open: (handleExceeded: () => void) => ResponseAccount;
	/** Counts bytes of a response. If the limit is exceeded, what is held for the slowest is given up; see the ledger. */
	readonly add: (account: ResponseAccount, bytes: number) => void;
	/** Releases the bytes of a response. May be called several times. */
	readonly close: (account: ResponseAccount) => void;
};

/** Shorter responses are not counted: opening an account would cost more. */
const shortResponseBytes = 16_384;

/** Share of the bound on bodies and answers above which only a few responses are read. */
const busyShare = 0.7;

/** The responses that are always read, the oldest ones: several, since the server may send nothing of one. */
const alwaysReadCount = 4;

/**
 * @param ledger - What this process holds for its clients.
 * @param minCountedBytes - Responses up to this length are not counted.
 * @returns The memory, without any response.
 * @internal
 */
export function createResponseMemory(ledger: MemoryLedger, minCountedBytes = shortResponseBytes): ResponseMemory {
	/** In the order of their beginnings. */
	const accounts = new Set<ResponseAccount>();
	const busyBytes = ledger.getLimit('buffers') * busyShare;
	let pausedCount = 0;
	let unsubscribe: (() => void) | undefined;

	const isBusy = (): boolean => ledger.count('buffers') > busyBytes;

	const isAlwaysRead = (account: ResponseAccount): boolean => {
		let position = 0;
		for (const other of accounts) {
			if (other === account) {
				return true;
			}

			position++;
			if (position >= alwaysReadCount) {
				return false;
			}
		}

		return false;
	};

	const setPaused = (account: ResponseAccount, isPaused: boolean): void => {
		if (account.isPaused === isPaused) {
			return;
		}

		account.isPaused = isPaused;
		pausedCount += isPaused ? 1 : -1;
		account.connection?.setReading(!isPaused);
	};

	const restartReadable = (): void => {
		const isStillBusy = isBusy();
		let position = 0;
		for (const account of accounts) {
			if (!isStillBusy || position < alwaysReadCount) {
				setPaused(account, false);
			}

			position++;
		}

		if (pausedCount === 0) {
			unsubscribe?.();
			unsubscribe = undefined;
		}
	};

	return {
		open(handleExceeded) {
			const account: ResponseAccount = {
				handleExceeded, connection: undefined, bytes: 0, held: undefined, isPaused: false,
			};
			accounts.add(account);
			return account;
		},
		add(account, bytes) {
			if (!accounts.has(account)) {
				return;
			}

			account.bytes += bytes;
			if (account.held === undefined) {
				if (account.bytes <= minCountedBytes) {
					return;
				}

				// Its server may pause, and this gate may have stopped reading it. Neither shows that the server has stopped working.
				account.held = ledger.open(account.handleExceeded, () => true);
				account.held.add('buffers', account.bytes);
			} else {
				account.held.recordProgress();
				account.held.add('buffers', bytes);
			}

			if (!account.isPaused && accounts.has(account) && isBusy() && !isAlwaysRead(account)) {
				setPaused(account, true);
				unsubscribe ??= ledger.subscribe(restartReadable);
			}
		},
		close(account) {
			if (!accounts.delete(account)) {
				return;
			}

			// The part that ends a response may have paused its connection, which is used again.
			setPaused(account, false);
			account.held?.close();
		},
	};
}
