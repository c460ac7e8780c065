/**
 * Fair queueing among the workspaces that use one gate. The load that it answers:
 * one workspace asks for several times its usual load, and there are not enough
 * slots for all. Its additional requests must then be the ones that are refused.
 *
 * Shares are measured in requests that got a slot. A workspace is over its share
 * while it gets clearly more slots than it usually does. Requests that wait are
 * ordered by start-time fair queueing, in which a workspace's weight is its
 * usual rate: with equal weights, the largest workspace would pay for any other.
 *
 * @module
 */

/** What the gate knows of one workspace. Rates are requests a second that got a slot. */
type Account = {
	recent: number;
	usual: number;
	updatedAt: number;
	/** Finish tag of the latest request, in milliseconds of service time for each unit of weight. */
	finishTag: number;
};

/** @internal */
export type FairShares = {
	/** Returns the start tag of a request that arrives, and counts its service time. Lower tags go first. */
	readonly stamp: (workspace: string, serviceMs: number, now: number) => number;
	/** Records that a request got a slot. */
	readonly recordStart: (workspace: string, startTag: number, now: number) => void;
	/** Gives back the service time of a request that got no slot. */
	readonly giveBack: (workspace: string, serviceMs: number, now: number) => void;
	/** Returns whether a workspace gets more slots than its share. */
	readonly isOverShare: (workspace: string, now: number) => boolean;
	/** Returns how many workspaces are known. */
	readonly count: () => number;
};

/** Time constant of the recent rate, in milliseconds. A workspace at eight times its usual load is over its share within a second. */
const recentMs = 3000;

/** Time constant of the usual rate, in milliseconds. It is several times longer than the bursts of workspaces, which last up to 9 s. */
const usualMs = 30_000;

/** A workspace is over its share if its recent rate exceeds the usual one by this factor. Usual loads vary by less. */
const shareFactor = 1.25;

/** Requests a second that every workspace may have at a gate, so that single requests of small workspaces never count as too many. */
const freeRate = 0.5;

/** For this time after the start of a gate, in milliseconds, no workspace is over its share, because usual rates are not known yet. */
const learningMs = 4000;

/** A workspace without a request for this time is forgotten, in milliseconds; its usual rate has dropped to an eighth by then. */
const expiryMs = 60_000;

/** Interval between two searches for workspaces to forget, in milliseconds. */
const sweepIntervalMs = 5000;

/** Lowest weight, in requests a second, so that the tags of rare workspaces stay finite. */
const minWeight = 0.05;

/**
 * @param startedAt - Start of the gate, in milliseconds of the steady clock.
 * @returns Shares without any workspace.
 * @internal
 */
export function createFairShares(startedAt: number): FairShares {
	const accounts = new Map<string, Account>();
	let virtualTime = 0;
	let sweptAt = startedAt;

	/** Usual rates start at 0. Until the gate has run for a while they are too low by this factor. */
	const getLearnedShare = (now: number): number => 1 - Math.exp(-Math.max(1, now - startedAt) / usualMs);

	const forgetIdle = (now: number): void => {
		if (now - sweptAt < sweepIntervalMs) {
			return;
		}

		sweptAt = now;
		for (const [workspace, {updatedAt}] of accounts) {
			if (now - updatedAt > expiryMs) {
				accounts.delete(workspace);
			}
		}
	};

	/** Returns the account of a workspace with its rates at the current time. */
	const update = (workspace: string, now: number): Account => {
		const account = accounts.get(workspace);
		if (account === undefined) {
			forgetIdle(now);
			const created: Account = {
				recent: 0, usual: 0, updatedAt: now, finishTag: 0,
			};
			accounts.set(workspace, created);
			return created;
		}

		const elapsedMs = Math.max(0, now - account.updatedAt);
		account.recent *= Math.exp(-elapsedMs / recentMs);
		account.usual *= Math.exp(-elapsedMs / usualMs);
		account.updatedAt = now;
		return account;
	};

	const getWeight = ({usual}: Account, now: number): number => Math.max(minWeight, usual / getLearnedShare(now));

	return {
		stamp(workspace, serviceMs, now) {
			const account = update(workspace, now);
			const startTag = Math.max(virtualTime, account.finishTag);
			account.finishTag = startTag + (serviceMs / getWeight(account, now));
			return startTag;
		},
		recordStart(workspace, startTag, now) {
			virtualTime = Math.max(virtualTime, startTag);
			const account = update(workspace, now);
			account.recent += 1000 / recentMs;
			account.usual += 1000 / usualMs;
		},
		giveBack(workspace, serviceMs, now) {
			const account = update(workspace, now);
			account.finishTag -= serviceMs / getWeight(account, now);
		},
		isOverShare(workspace, now) {
			if (now - startedAt < learningMs || !accounts.has(workspace)) {
				return false;
			}

			const account = update(workspace, now);
			return account.recent > (account.usual / getLearnedShare(now) * shareFactor) + freeRate;
		},
		count: () => accounts.size,
	};
}
