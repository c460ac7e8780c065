/**
 * Collects the summaries of this node's children in the distribution tree and,
 * on a relay, those of the other failure domains.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type FailureDomain, type NodeId} from '../common/ids.js';
import {getRecord} from '../directory/directory.js';
import {type DirectoryKeeper} from '../directory/directory-keeper.js';
import {type ConfigurationKeeper} from './configuration-keeper.js';
import {type Distributor} from './distributor.js';
import {peerTimeoutMs, type Peers} from './peers.js';
import {buildSummary, type Summary} from './summary.js';
import {decodeSummary} from './wire.js';

/** @internal */
export type StatusCollector = {
	/** Records a summary from a child or from the relay of another failure domain. */
	readonly record: (from: NodeId, summary: Summary) => void;
	/** Returns the summary of this node's subtree. */
	readonly getOwnSummary: () => Summary;
	/** Returns the summary of every failure domain. With `mayContactRelay`, a node that is not the relay calls the relay for them. */
	readonly getFleetSummaries: (mayContactRelay: boolean) => Promise<readonly Summary[]>;
	/** Sets the reason why this node may be behind; an empty string if it is not behind. */
	readonly setLagReason: (reason: string) => void;
};

/** @internal */
export type StatusContext = {
	readonly self: NodeId;
	readonly domain: FailureDomain;
	readonly configuration: ConfigurationKeeper;
	readonly directory: DirectoryKeeper;
	readonly distributor: Distributor;
	readonly peers: Peers;
};

type ReceivedSummary = {readonly summary: Summary; readonly at: number};

/** Time after which a received summary expires unless its node sends a new one. */
const summaryTtlMs = 7000;

/**
 * @param context - The dependencies.
 * @returns The collector.
 * @internal
 */
export function createStatusCollector(context: StatusContext): StatusCollector {
	const {self, domain, configuration, directory, distributor, peers} = context;
	const received = new Map<NodeId, ReceivedSummary>();
	let reason = '';

	const listUnexpired = (): ReadonlyArray<readonly [NodeId, Summary]> => {
		const expiredBefore = readNow() - summaryTtlMs;
		return [...received].filter(([, entry]) => entry.at >= expiredBefore).map(([node, entry]) => [node, entry.summary]);
	};

	const getOwnSummary = (): Summary => {
		const children = new Set(distributor.getTreePosition().children);
		const summaries = listUnexpired().filter(([node]) => children.has(node)).map(([, summary]) => summary);
		return buildSummary({
			failureDomain: domain, node: self, version: configuration.getConfiguration().version, reason,
		}, summaries);
	};

	const listFleetSummaries = (): readonly Summary[] => {
		const others = new Map<FailureDomain, Summary>();
		for (const [, summary] of listUnexpired()) {
			const known = others.get(summary.failureDomain);
			if (summary.failureDomain !== domain && (known === undefined || summary.nodes >= known.nodes)) {
				others.set(summary.failureDomain, summary);
			}
		}

		return [getOwnSummary(), ...others.values()];
	};

	const requestFromRelay = async (): Promise<readonly Summary[]> => {
		const relay = getRecord(directory.getDirectory(), distributor.getTreePosition().relay);
		if (relay === undefined) {
			return listFleetSummaries();
		}

		try {
			const reply = await peers.getClient(relay.controlAddress).fleetStatus({from: self}, {timeoutMs: peerTimeoutMs});
			return reply.summaries.map(summary => decodeSummary(summary));
		} catch {
			return listFleetSummaries();
		}
	};

	return {
		record(from, summary) {
			received.set(from, {summary, at: readNow()});
			const expiredBefore = readNow() - summaryTtlMs;
			for (const [node, entry] of received) {
				if (entry.at < expiredBefore) {
					received.delete(node);
				}
			}
		},
		getOwnSummary,
		getFleetSummaries: async mayContactRelay => mayContactRelay && !distributor.isRelay() ? requestFromRelay() : listFleetSummaries(),
		setLagReason(text) {
			reason = text;
		},
	};
}
