/**
 * The loans of one group at its coordinator, and how much of the quotas they were
 * worth over time.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';

/** How long a loan lasts after the stamp that it is based on, in milliseconds. A coordinator that is lost takes its loans with it for this long. @internal */
export const loanMs = 1000;

type Loan = {
	/** When it ends, in milliseconds of the coordinator's steady clock. */
	validUntil: number;
	/** Stamps up to this time are void, because the lender has released the loan since. */
	voidUntil: number;
	nodes: number;
	/** When the lender last wanted tokens. */
	wantedAt: number;
};

/** @internal */
export type QuotaLoans = {
	/** Renews a loan. A stamp that is too old, or from before a release, has no effect. */
	readonly lend: (lender: NodeId, stampAt: number, nodes: number, now: number) => void;
	/** Ends a loan, also for asks of the lender that are still on their way. */
	readonly release: (lender: NodeId, now: number) => void;
	readonly noteWant: (lender: NodeId, now: number) => void;
	/** Counts until a given time. Must be called before each change, and before the figures are read. */
	readonly advance: (now: number) => void;
	/** Sum over the time so far of the share of the quotas that was lent, in milliseconds. */
	readonly getLentMs: () => number;
	/** Share of the quotas that is lent now, from 0 to 1. */
	readonly getShare: () => number;
	/** Lowest share since it was last read by this function. */
	readonly takeLowestShare: () => number;
	/** Number of lenders that wanted tokens lately. */
	readonly countWanting: (now: number) => number;
	readonly listLenders: (now: number) => readonly NodeId[];
};

/** Lenders count as wanting tokens for this long, in milliseconds: longer than the longest time between two asks. */
const wantingMs = 1000;

/**
 * @param countNodes - Returns the number of nodes, as far as the coordinator knows.
 * @returns No loans.
 * @internal
 */
export function createQuotaLoans(countNodes: (now: number) => number): QuotaLoans {
	const loans = new Map<NodeId, Loan>();
	let advancedAt: number | undefined;
	let lentMs = 0;
	let share = 0;
	let lowestShare = 0;

	const updateShare = (now: number): void => {
		let valid = 0;
		let nodes = countNodes(now);
		for (const loan of loans.values()) {
			if (loan.validUntil > now) {
				valid++;
				nodes = Math.max(nodes, loan.nodes);
			}
		}

		share = valid / Math.max(1, nodes, valid);
		lowestShare = Math.min(lowestShare, share);
	};

	const advance = (now: number): void => {
		const from = advancedAt ?? now;
		if (now <= from) {
			advancedAt ??= now;
			return;
		}

		advancedAt = now;
		let validMs = 0;
		let valid = 0;
		let nodes = countNodes(now);
		for (const [lender, loan] of loans) {
			if (loan.validUntil > from) {
				valid++;
				validMs += Math.min(loan.validUntil, now) - from;
				nodes = Math.max(nodes, loan.nodes);
			} else if (now - loan.validUntil > loanMs && now - loan.voidUntil > loanMs) {
				loans.delete(lender);
			}
		}

		lentMs += validMs / Math.max(1, nodes, valid);
		updateShare(now);
	};

	const getLoan = (lender: NodeId): Loan => {
		const loan = loans.get(lender) ?? {
			validUntil: Number.NEGATIVE_INFINITY, voidUntil: Number.NEGATIVE_INFINITY, nodes: 1, wantedAt: Number.NEGATIVE_INFINITY,
		};
		loans.set(lender, loan);
		return loan;
	};

	return {
		lend(lender, stampAt, nodes, now) {
			advance(now);
			const loan = getLoan(lender);
			// A stamp of the future would lend for longer than the lender expects.
			if (stampAt > now || stampAt + loanMs <= now || stampAt <= loan.voidUntil) {
				return;
			}

			loan.validUntil = Math.max(loan.validUntil, stampAt + loanMs);
			loan.nodes = nodes;
			updateShare(now);
		},
		release(lender, now) {
			advance(now);
			const loan = getLoan(lender);
			loan.validUntil = Math.min(loan.validUntil, now);
			loan.voidUntil = now;
			updateShare(now);
		},
		noteWant(lender, now) {
			const loan = loans.get(lender);
			if (loan !== undefined) {
				loan.wantedAt = now;
			}
		},
		advance,
		getLentMs: () => lentMs,
		getShare: () => share,
		takeLowestShare() {
			const lowest = lowestShare;
			lowestShare = share;
			return lowest;
		},
		countWanting(now) {
			let wanting = 0;
			for (const {wantedAt} of loans.values()) {
				wanting += now - wantedAt < wantingMs ? 1 : 0;
			}

			return wanting;
		},
		listLenders: now => [...loans].filter(([, {validUntil}]) => validUntil > now).map(([lender]) => lender),
	};
}
