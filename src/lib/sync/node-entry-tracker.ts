/**
 * Tracks the entries of nodes in the store, and selects the addresses to
 * contact. Any client of the store can write under the prefix of the nodes, so
 * entries without a valid address, or with an address that does not answer,
 * must cost little. Each of them is reported once.
 *
 * @module
 */
import {isReachableAddress} from '../common/address.js';
import {FieldError} from '../common/field-error.js';
import {toAddress, type Address} from '../common/ids.js';
import {type StoreItem} from '../store/mesh-store.js';
import {type StoreEra} from '../store/store-position.js';
import {type RefusalLog} from '../timeline/refusal-log.js';

/** @internal */
export type NodeEntryTrackerContext = {
	/** Returns whether a known node receives heartbeats at an address. */
	readonly isKnown: (address: Address) => boolean;
	readonly refusals: RefusalLog;
};

/** @internal */
export type NodeEntryTracker = {
	/** Updates the tracked entries to a complete list from an era of the store, and returns the addresses to contact. */
	readonly update: (items: readonly StoreItem[], era: StoreEra, now: number) => readonly Address[];
};

/**
 * An address that does not answer is contacted for this time after its entry was first seen at its current revision. Network partitions between nodes are shorter; the
 * cost is one datagram every few seconds. A node that restarts rewrites its entry. An address that has answered is contacted for as long as its entry exists.
 */
const unansweredContactMs = 300_000;

/** Maximum number of addresses contacted per update: several times the number of nodes of the largest mesh, which may all start at the same time. */
const maxContactCount = 2000;

/** State of an entry at one revision. */
type Entry = {
	readonly revision: number;
	readonly firstSeenAt: number;
	hasAnswered: boolean;
	isReported: boolean;
};

/**
 * @param context - The known addresses, and the log of refused entries.
 * @returns A tracker without entries.
 * @internal
 */
export function createNodeEntryTracker({isKnown, refusals}: NodeEntryTrackerContext): NodeEntryTracker {
	let entries: ReadonlyMap<string, Entry> = new Map();
	/** Era of the tracked entries; revisions are comparable only within one. */
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
			refusals.record({
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
