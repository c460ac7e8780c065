/**
 * Decides when this node's summary is sent, and to which nodes: soon after a
 * change, and periodically so that it does not expire at the receiver.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {type Distributor} from './distributor.js';
import {type StatusCollector} from './status-collector.js';
import {isSameSummary, type Summary} from './summary.js';

/** A summary to send now, and the nodes to send it to. @internal */
export type DueSummary = {
	readonly summary: Summary;
	readonly targets: readonly NodeId[];
};

/** @internal */
export type SummarySender = {
	/** Returns the summary if it is due and records it as sent, or returns `undefined`. */
	readonly takeDue: (now: number) => DueSummary | undefined;
};

type SentSummary = {
	readonly summary: Summary;
	readonly parent: NodeId | undefined;
	readonly at: number;
};

/** An unchanged summary is sent again after this time. */
const resendIntervalMs = 2000;

/** Minimum time between two summaries. */
const minimumIntervalMs = 200;

/**
 * @param status - Builds the summary of this node's subtree.
 * @param distributor - Finds the parent and the relays of the other failure domains.
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

			const {parent} = distributor.getTreePosition();
			const summary = status.getOwnSummary();
			const isRepeat = sent !== undefined && sent.parent === parent && now - sent.at < resendIntervalMs && isSameSummary(sent.summary, summary);
			if (isRepeat) {
				return undefined;
			}

			sent = {summary, parent, at: now};
			// The relay has no parent. It sends the summary of its whole failure domain to the relays of the others.
			return {summary, targets: parent === undefined ? distributor.listOtherDomainRelays().map(record => record.id) : [parent]};
		},
	};
}
