/**
 * Which entries of the store are worth a greeting. Anybody who reaches the
 * store may write under the prefix of the nodes: an entry that names no
 * address, or one at which nobody answers, costs little and is told once.
 *
 * @module
 */
import {isReachableAddress} from '../common/address.js';
import {FieldError} from '../common/field-error.js';
import {toAddress, type Address} from '../common/ids.js';
import {type StoreItem} from '../store/mesh-store.js';
import {type StoreEra} from '../store/store-position.js';
import {type Refusals} from '../timeline/refusals.js';

/** @internal */
export type NodeEntryTrackerContext = {
	/** Whether a node takes heartbeats at an address. */
	readonly isKnown: (address: Address) => boolean;
	readonly refusals: Refusals;
};

/** @internal */
export type NodeEntryTracker = {
	/** Takes all entries of nodes as they stand in an era of the store; yields the addresses that are to be greeted. */
	readonly update: (items: readonly StoreItem[], era: StoreEra, now: number) => readonly Address[];
};

/**
 * For how long an address is greeted at which nobody has answered since its entry was written. Milliseconds: longer than nodes are cut off from one another
 * and from each other's greetings, at one datagram every few seconds; a node that starts again writes its entry anew. One that has answered is greeted for as
 * long as its entry stands.
 */
const unansweredContactMs = 300_000;

/** Addresses that are greeted at once at the most: several times the largest mesh that starts at once. */
const maxContactCount = 2000;

/** What is known of an entry since it was last written. */
type Entry = {
	readonly revision: number;
	readonly firstSeenAt: number;
	hasAnswered: boolean;
	isReported: boolean;
};

/**
 * @param context - Who is known, and who is told of entries that are of no use.
 * @returns A book of no entries.
 * @internal
 */
export function createNodeEntryTracker({isKnown, refusals}: NodeEntryTrackerContext): NodeEntryTracker {
	let entries: ReadonlyMap<string, Entry> = new Map();
	/** Revisions tell entries apart within one. */
	let entriesEra: StoreEra | undefined;

	const getEntry = ({key, revision}: StoreItem, now: number): Entry => {
		const known = entries.get(key);
		return known?.revision === revision
			? known
			: {
				revision, firstSeenAt: now, hasAnswered: false, isReported: false,
			};
	};

	const reportUnusable = (entry: Entry, {key, value}: StoreItem, cause: 'unreadable' | 'no-answer', allowed: string): void => {
		if (!entry.isReported) {
			entry.isReported = true;
			refusals.note({
				kind: 'entry-refused', cause, place: key, reason: new FieldError('value', value, allowed).message,
			});
		}
	};

	const isContactable = (entry: Entry, item: StoreItem, now: number): boolean => {
		if (!isReachableAddress(item.value)) {
			reportUnusable(entry, item, 'unreadable', 'the address of a node, as in 10.0.0.1:7004; remove the entry');
			return false;
		}

		entry.hasAnswered ||= isKnown(toAddress(item.value));
		if (!entry.hasAnswered && now - entry.firstSeenAt > unansweredContactMs) {
			reportUnusable(entry, item, 'no-answer', `an address at which a node answers within ${unansweredContactMs / 1000} s; remove the entry`);
			return false;
		}

		return true;
	};

	return {
		update(items, era, now) {
			if (era !== entriesEra) {
				entries = new Map();
				entriesEra = era;
			}

			const updated = new Map(items.map(item => [item.key, getEntry(item, now)]));
			entries = updated;
			return items.filter(item => isContactable(updated.get(item.key)!, item, now)).slice(0, maxContactCount).map(({value}) => toAddress(value));
		},
	};
}
