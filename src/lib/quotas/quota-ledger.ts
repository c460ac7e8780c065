/**
 * The ledger of a coordinator: grants tokens of the quotas that other nodes, and this
 * one, have lent to it.
 *
 * The load it answers: all callers of a workspace together ask for many times its
 * quota, at any nodes. Tokens come into being only while loans are valid, in proportion
 * to them, so the sum over several coordinators is at most the quota.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {countNodesBefore, getQuotaGroup, quotaGroupCount} from './quota-group.js';
import {createQuotaLoans, type QuotaLoans} from './quota-loans.js';
import {
	type QuotaAnswer, type QuotaAsk, type QuotaGrant, type QuotaWant,
} from './quota-messages.js';
import {type QuotaPlan} from './quota-plan.js';

/** What the ledger needs to know of the mesh. @internal */
export type QuotaMeshView = {
	/** Returns the number of nodes that may hold a part, never too few. */
	readonly countNodes: (now: number) => number;
	/** Returns whether this node knows enough of the mesh to accept loans. */
	readonly isSettled: (now: number) => boolean;
	/** Returns the number of nodes that this node knows of itself, for others to rely on; 0 while it may know too few. */
	readonly countKnown: (now: number) => number;
	/** Lists the ids of all known nodes, with this one. */
	readonly listNodes: () => readonly NodeId[];
};

/** @internal */
export type QuotaLedger = {
	/** Replaces the quotas. Buckets of new workspaces start empty; those of lower quotas drop what exceeds them. */
	readonly applyPlans: (plans: ReadonlyMap<string, QuotaPlan>, now: number) => void;
	/** Accepts the loans of an ask, and grants tokens. */
	readonly handleAsk: (ask: QuotaAsk, now: number) => QuotaAnswer;
	/** Returns the number of tokens in the bucket of a workspace; 0 if it has none. */
	readonly countTokens: (workspace: string, now: number) => number;
};

type Bucket = {
	plan: QuotaPlan;
	tokens: number;
	/** The group's `getLentMs` when the tokens were last counted. */
	countedLentMs: number;
};

type Group = {
	readonly loans: QuotaLoans;
	readonly buckets: Map<string, Bucket>;
	/** The share of the loans to which the buckets were last limited. */
	limitedShare: number;
};

/** Milliseconds of processor time that asks of one entry without tokens may take apart from those of another: it limits the asks to a coordinator to 250 a second. */
const askGapMs = 4;

/** Shortest and longest time until an entry that got too few tokens asks again, in milliseconds. The longest is far below the time in which the smallest burst fills at the smallest quota that matters. */
const minRetryMs = 50;
const maxPaceMs = 400;

/** Entries may ask for more than they are sure to need while at least this share of the burst is left, and a token for each of them. */
const plentyShare = 0.5;

/**
 * @param run - Random id of this run of the process.
 * @param mesh - What this node knows of the mesh.
 * @returns A ledger without quotas and loans.
 * @internal
 */
export function createQuotaLedger(run: string, mesh: QuotaMeshView): QuotaLedger {
	const groups: readonly Group[] = Array.from({length: quotaGroupCount}, () => ({loans: createQuotaLoans(mesh.countNodes), buckets: new Map<string, Bucket>(), limitedShare: 0}));

	/** Returns how many tokens a bucket may hold at a share of the loans. Less than one token is rounded to a whole one for a bounded number of nodes. */
	const computeCapacity = (workspace: string, {burst, wholeTokenNodes}: QuotaPlan, {loans}: Group, share: number, now: number): number => {
		const part = burst * share;
		if (part >= 1 || share === 0) {
			return part;
		}

		const nodes = mesh.listNodes();
		// A node that knows only some of the others would find itself among the first too easily.
		const isComplete = nodes.length >= mesh.countNodes(now);
		return isComplete && loans.listLenders(now).some(lender => countNodesBefore(workspace, lender, nodes) < wholeTokenNodes) ? 1 : 0;
	};

	const countBucket = (workspace: string, bucket: Bucket, group: Group, now: number): void => {
		const {loans} = group;
		const lentMs = loans.getLentMs();
		const filled = bucket.tokens + ((lentMs - bucket.countedLentMs) * bucket.plan.ratePerMs);
		bucket.countedLentMs = lentMs;
		bucket.tokens = Math.min(filled, computeCapacity(workspace, bucket.plan, group, loans.getShare(), now));
	};

	/** Counts the loans until now. If fewer are valid than before, drops the tokens that exceed their share, also of workspaces that nobody asks for. */
	const advanceGroup = (group: Group, now: number): void => {
		const {loans, buckets} = group;
		loans.advance(now);
		const lowest = loans.takeLowestShare();
		const isLower = lowest < group.limitedShare;
		group.limitedShare = loans.getShare();
		if (!isLower) {
			return;
		}

		for (const [workspace, bucket] of buckets) {
			countBucket(workspace, bucket, group, now);
			bucket.tokens = Math.min(bucket.tokens, computeCapacity(workspace, bucket.plan, group, lowest, now));
		}
	};

	const grant = ({workspace, tokens: wanted}: QuotaWant, now: number): QuotaGrant => {
		const group = groups[getQuotaGroup(workspace)]!;
		const bucket = group.buckets.get(workspace);
		if (bucket === undefined) {
			// The asker has a newer configuration, or an older one.
			return {tokens: 0, retryMs: undefined, isPlenty: false};
		}

		advanceGroup(group, now);
		countBucket(workspace, bucket, group, now);
		const tokens = Math.min(wanted, Math.max(0, Math.floor(bucket.tokens)));
		bucket.tokens -= tokens;
		const share = group.loans.getShare();
		const capacity = computeCapacity(workspace, bucket.plan, group, share, now);
		const perMs = bucket.plan.ratePerMs * share;
		const wanting = group.loans.countWanting(now);
		const paceMs = Math.min(maxPaceMs, wanting * askGapMs);
		return {
			tokens,
			retryMs: capacity < 1 || perMs === 0 ? undefined : Math.max(minRetryMs, paceMs, (1 - bucket.tokens) / perMs),
			isPlenty: bucket.tokens >= Math.max(capacity * plentyShare, wanting),
		};
	};

	const acceptLoans = ({asker, nodes, stamp, lent, released}: QuotaAsk, now: number): void => {
		for (const index of released) {
			const group = groups[index]!;
			advanceGroup(group, now);
			group.loans.release(asker, now);
		}

		for (const index of stamp?.run === run ? lent : []) {
			const group = groups[index]!;
			advanceGroup(group, now);
			group.loans.lend(asker, stamp!.at, nodes, now);
		}
	};

	return {
		applyPlans(plans, now) {
			for (const [index, group] of groups.entries()) {
				advanceGroup(group, now);
				for (const [workspace, bucket] of group.buckets) {
					countBucket(workspace, bucket, group, now);
					if (!plans.has(workspace)) {
						group.buckets.delete(workspace);
					}
				}

				for (const [workspace, plan] of plans) {
					if (getQuotaGroup(workspace) !== index) {
						continue;
					}

					const bucket = group.buckets.get(workspace) ?? {plan, tokens: 0, countedLentMs: group.loans.getLentMs()};
					bucket.plan = plan;
					group.buckets.set(workspace, bucket);
					countBucket(workspace, bucket, group, now);
				}
			}
		},
		handleAsk(ask, now) {
			const isSettling = !mesh.isSettled(now);
			if (!isSettling) {
				acceptLoans(ask, now);
			}

			for (const {workspace} of ask.wants) {
				groups[getQuotaGroup(workspace)]!.loans.noteWant(ask.asker, now);
			}

			return {
				stamp: {run, at: Math.floor(now)},
				known: mesh.countKnown(now),
				isSettling,
				grants: ask.wants.map(want => isSettling ? {tokens: 0, retryMs: undefined, isPlenty: false} : grant(want, now)),
			};
		},
		countTokens(workspace, now) {
			const group = groups[getQuotaGroup(workspace)]!;
			const bucket = group.buckets.get(workspace);
			if (bucket === undefined) {
				return 0;
			}

			advanceGroup(group, now);
			countBucket(workspace, bucket, group, now);
			return bucket.tokens;
		},
	};
}
