/**
 * Counts what a process holds for its clients, by connection and in sum, and keeps the
 * sum within its bound: what is held by a client that makes no progress is given up
 * first. Has no sockets.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {computeHeldLimits, defaultMachineLimits, type HeldLimits} from './memory-limits.js';

/** What is counted: bodies and answers outside the heap, or requests as objects on it. @internal */
export type HeldKind = 'buffers' | 'requests';

/** What is held for one client. @internal */
export type MemoryAccount = {
	/** Counts bytes. Whatever exceeds the bound then is given up, possibly this account. */
	readonly add: (kind: HeldKind, bytes: number) => void;
	/** Counts bytes no longer. Has no effect on an account that is closed or was given up. */
	readonly release: (kind: HeldKind, bytes: number) => void;
	/** Records that the client has sent or read something. */
	readonly recordProgress: () => void;
	readonly count: (kind: HeldKind) => number;
	/** Releases everything. May be called several times. */
	readonly close: () => void;
};

/** @internal */
export type MemoryLedger = {
	/**
	 * Opens an account. `handleEvicted` gives up what is held for its client; without it, other accounts are given up in its place.
	 * `isServed` tells whether the client can only wait for a server, and so counts as one that makes progress.
	 */
	readonly open: (handleEvicted?: () => void, isServed?: () => boolean) => MemoryAccount;
	/**
	 * Makes room for bytes that are not counted yet, at the expense of clients that have made no progress for a while.
	 * Returns whether there is room. There always is if nothing is held.
	 */
	readonly clearRoom: (kind: HeldKind, bytes: number) => boolean;
	/** Returns whether there is room for bytes, at nobody's expense. */
	readonly hasRoom: (kind: HeldKind, bytes: number) => boolean;
	readonly count: (kind: HeldKind) => number;
	readonly getLimit: (kind: HeldKind) => number;
	/** Returns the number of accounts that were given up. */
	readonly countEvicted: () => number;
	/** Calls the handler after each release, until the returned function is called. */
	readonly subscribe: (handleRelease: () => void) => () => void;
};

type Account = {
	readonly held: Record<HeldKind, number>;
	readonly handleEvicted: (() => void) | undefined;
	readonly isServed: () => boolean;
	progressAt: number;
	isOpen: boolean;
};

/** The bounds of a ledger. Without a bound for one client, that of all holds. @internal */
export type LedgerLimits = Pick<HeldLimits, 'bufferBytes' | 'requestBytes'> & Partial<Pick<HeldLimits, 'loneBufferBytes'>>;

/** Share of the bound that others may hold beside one request that holds more than the bound. */
const besideLoneShare = 0.125;

/** A client that has neither sent nor read anything for this long makes no progress. An ordinary one does within a few round trips, unless it has left. */
const stalledMs = 1000;

/** Returns the account that holds most: of those without progress if there are any. */
function findVictim(accounts: Iterable<Account>, kind: HeldKind, now: number, isStalledOnly: boolean): Account | undefined {
	let victim: Account | undefined;
	let isVictimStalled = false;
	for (const account of accounts) {
		const isStalled = now - account.progressAt >= stalledMs && !account.isServed();
		const isCandidate = account.handleEvicted !== undefined && account.held[kind] > 0 && (isStalled || !isStalledOnly);
		const isWorse = victim === undefined || (isStalled === isVictimStalled ? account.held[kind] > victim.held[kind] : isStalled);
		if (isCandidate && isWorse) {
			victim = account;
			isVictimStalled = isStalled;
		}
	}

	return victim;
}

/**
 * @param limits - The bounds.
 * @returns A ledger with nothing held.
 * @internal
 */
export function createMemoryLedger({bufferBytes, loneBufferBytes = bufferBytes, requestBytes}: LedgerLimits): MemoryLedger {
	const limits: Readonly<Record<HeldKind, number>> = {buffers: bufferBytes, requests: requestBytes};
	const sums: Record<HeldKind, number> = {buffers: 0, requests: 0};
	const accounts = new Set<Account>();
	const subscribers = new Set<() => void>();
	let evicted = 0;

	const notifySubscribers = (): void => {
		for (const handleRelease of subscribers) {
			handleRelease();
		}
	};

	const close = (account: Account): void => {
		if (!account.isOpen) {
			return;
		}

		account.isOpen = false;
		accounts.delete(account);
		sums.buffers -= account.held.buffers;
		sums.requests -= account.held.requests;
		notifySubscribers();
	};

	/** Whether bytes more would exceed the bound. One request may hold more than all together, so that a single long body and its answer are served while little else is held. */
	const isOver = (kind: HeldKind, bytes: number): boolean => {
		const sum = sums[kind] + bytes;
		if (sum <= limits[kind]) {
			return false;
		}

		return kind === 'requests' || sum > loneBufferBytes || sums.buffers - sumLargestTwo() > limits.buffers * besideLoneShare;
	};

	/** Returns what the two largest accounts hold: a body and its answer are held in two. */
	const sumLargestTwo = (): number => {
		let largest = 0;
		let second = 0;
		for (const {held: {buffers}} of accounts) {
			second = Math.max(second, Math.min(largest, buffers));
			largest = Math.max(largest, buffers);
		}

		return largest + second;
	};

	/** Gives accounts up until there is room for bytes. Returns whether there is. */
	const evictFor = (kind: HeldKind, bytes: number, isStalledOnly: boolean): boolean => {
		while (isOver(kind, bytes)) {
			const victim = findVictim(accounts, kind, readSteadyMs(), isStalledOnly);
			if (victim === undefined) {
				return false;
			}

			evicted++;
			close(victim);
			victim.handleEvicted?.();
		}

		return true;
	};

	return {
		open(handleEvicted, isServed = () => false) {
			const account: Account = {
				held: {buffers: 0, requests: 0}, handleEvicted, isServed, progressAt: readSteadyMs(), isOpen: true,
			};
			accounts.add(account);
			return {
				add(kind, bytes) {
					if (!account.isOpen) {
						return;
					}

					account.held[kind] += bytes;
					sums[kind] += bytes;
					if (isOver(kind, 0)) {
						evictFor(kind, 0, false);
					}
				},
				release(kind, bytes) {
					if (!account.isOpen) {
						return;
					}

					account.held[kind] -= bytes;
					sums[kind] -= bytes;
					if (subscribers.size > 0) {
						notifySubscribers();
					}
				},
				recordProgress() {
					account.progressAt = readSteadyMs();
				},
				count: kind => account.held[kind],
				close() {
					close(account);
				},
			};
		},
		clearRoom: (kind, bytes) => !isOver(kind, bytes) || sums[kind] === 0 || evictFor(kind, bytes, true),
		hasRoom: (kind, bytes) => !isOver(kind, bytes),
		count: kind => sums[kind],
		getLimit: kind => limits[kind],
		countEvicted: () => evicted,
		subscribe(handleRelease) {
			subscribers.add(handleRelease);
			return () => {
				subscribers.delete(handleRelease);
			};
		},
	};
}

/**
 * @returns A ledger for a machine of which no limits are known, with nothing held.
 * @internal
 */
export const createDefaultLedger = (): MemoryLedger => createMemoryLedger(computeHeldLimits(defaultMachineLimits));
