/**
 * To whom a node lends its parts of the quotas. Its part of a group is at one place at
 * a time: at a coordinator while a loan may be valid there, and nowhere else.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {quotaGroupCount} from './quota-group.js';
import {loanMs} from './quota-loans.js';
import {type QuotaStamp} from './quota-messages.js';

/** @internal */
export type QuotaLending = {
	/** Records the stamp of an answer, by its coordinator. */
	readonly noteStamp: (coordinator: NodeId, stamp: QuotaStamp, now: number) => void;
	/** Returns whether a stamp of a coordinator is recent enough to lend by it. */
	readonly hasStamp: (coordinator: NodeId, now: number) => boolean;
	/** Returns the stamp to send, and those of the groups that may be lent. Must be called when the ask is sent, since the loans begin with it. */
	readonly lend: (coordinator: NodeId, groups: readonly number[], now: number) => {readonly stamp: QuotaStamp | undefined; readonly lent: readonly number[]};
	/** Returns whether a group could be lent to a coordinator that it is not lent to. */
	readonly isLendable: (group: number, coordinator: NodeId, now: number) => boolean;
	/** Returns the node at which a loan of a group may still be valid. */
	readonly getLender: (group: number, now: number) => NodeId | undefined;
	/** Records that a coordinator has confirmed the release of groups. */
	readonly noteReleased: (coordinator: NodeId, groups: readonly number[], now: number) => void;
};

/** Added to the time for which a loan may be valid, in milliseconds: clocks of VMs drift apart by far less in a second. */
const clockMarginMs = 20;

type ReceivedStamp = {readonly stamp: QuotaStamp; readonly receivedAt: number};

/**
 * @param startedAt - When this process started, in steady milliseconds. Its earlier run may have lent its parts until then.
 * @returns A state in which nothing is lent yet.
 * @internal
 */
export function createQuotaLending(startedAt: number): QuotaLending {
	const stamps = new Map<NodeId, ReceivedStamp>();
	const firstLoanAt = startedAt + loanMs + clockMarginMs;
	const groups = Array.from({length: quotaGroupCount}, () => ({lentTo: undefined as NodeId | undefined, lentUntil: firstLoanAt}));

	const findStamp = (coordinator: NodeId, now: number): ReceivedStamp | undefined => {
		const received = stamps.get(coordinator);
		return received !== undefined && now - received.receivedAt < loanMs ? received : undefined;
	};

	const mayLend = (group: number, coordinator: NodeId, now: number): boolean => {
		const {lentTo, lentUntil} = groups[group]!;
		return now >= firstLoanAt && (lentTo === coordinator || now >= lentUntil);
	};

	return {
		noteStamp(coordinator, stamp, now) {
			stamps.set(coordinator, {stamp, receivedAt: now});
		},
		hasStamp: (coordinator, now) => findStamp(coordinator, now) !== undefined,
		lend(coordinator, wanted, now) {
			const received = findStamp(coordinator, now);
			const lent = received === undefined ? [] : wanted.filter(group => mayLend(group, coordinator, now));
			for (const group of lent) {
				const {lentUntil} = groups[group]!;
				// The coordinator made the stamp before it was received, so the loan ends there before this time.
				groups[group] = {lentTo: coordinator, lentUntil: Math.max(lentUntil, received!.receivedAt + loanMs + clockMarginMs)};
			}

			return {stamp: lent.length === 0 ? undefined : received?.stamp, lent};
		},
		isLendable(group, coordinator, now) {
			const {lentTo, lentUntil} = groups[group]!;
			const isLent = lentTo === coordinator && now < lentUntil;
			return !isLent && mayLend(group, coordinator, now) && findStamp(coordinator, now) !== undefined;
		},
		getLender(group, now) {
			const {lentTo, lentUntil} = groups[group]!;
			return now < lentUntil ? lentTo : undefined;
		},
		noteReleased(coordinator, released, now) {
			for (const group of released) {
				if (groups[group]!.lentTo === coordinator) {
					groups[group] = {lentTo: undefined, lentUntil: Math.max(firstLoanAt, now)};
				}
			}
		},
	};
}
