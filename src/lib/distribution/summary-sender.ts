/**
 * Decides when this node's summary is due, and to whom: at once when it has
 * changed, and again and again so that it is not forgotten.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {type Distributor} from './distributor.js';
import {type StatusCollector} from './status-collector.js';
import {isSameSummary, type Summary} from './summary.js';

/** A summary that is due. @internal */
export type DueSummary = {
	readonly summary: Summary;
	readonly targets: readonly NodeId[];
};

/** @internal */
export type SummarySender = {
	/** Yields the summary if it is due, and takes it for sent. */
	readonly takeDue: (now: number) => DueSummary | undefined;
};

type SentSummary = {
	readonly summary: Summary;
	readonly parent: NodeId | undefined;
	readonly at: number;
};

/** Milliseconds after which an unchanged summary is sent again. */
const resendIntervalMs = 2000;

/** Milliseconds between two summaries at the least. */
const minimumIntervalMs = 200;

/**
 * @param status - Sums up this node's subtree.
 * @param distributor - Knows the parent and the other relays.
 * @returns The sender.
 * @internal
 */
export function createSummarySender(status: StatusCollector, distributor: Distributor): SummarySender {
	let sent: SentSummary | undefined;

	return {
		takeDue(now) {
			if (sent !== undefined && now - sent.at < minimumIntervalMs) {
				return undefined;
			}

			const {parent} = distributor.getPlace();
			const summary = status.getOwnSummary();
			const isRepeat = sent !== undefined && sent.parent === parent && now - sent.at < resendIntervalMs && isSameSummary(sent.summary, summary);
			if (isRepeat) {
				return undefined;
			}

			sent = {summary, parent, at: now};
			// The relay has no parent; its summary is that of the whole domain, for the relays of the others.
			return {summary, targets: parent === undefined ? distributor.listOtherDomainRelays().map(record => record.id) : [parent]};
		},
	};
}
