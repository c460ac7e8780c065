/**
 * Collects the summaries of this node's children in the tree and, on a relay,
 * of the other failure domains.
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
	/** Takes a summary from a child or from another domain's relay. */
	readonly note: (from: NodeId, summary: Summary) => void;
	/** Sums up this node's subtree. */
	readonly getOwn: () => Summary;
	/** Every domain's summary. With `canAsk`, a node that is not the relay asks the relay. */
	readonly getFleet: (canAsk: boolean) => Promise<readonly Summary[]>;
	/** Says why this node may be behind; an empty text when it is not. */
	readonly setReason: (reason: string) => void;
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

type Noted = {readonly summary: Summary; readonly at: number};

/** A summary that was not repeated for this long is forgotten, in milliseconds. */
const summaryLifeMs = 7000;

/**
 * @param context - What it works with.
 * @returns The collector.
 * @internal
 */
export function createStatusCollector(context: StatusContext): StatusCollector {
	const {self, domain, configuration, directory, distributor, peers} = context;
	const notes = new Map<NodeId, Noted>();
	let reason = '';

	const listFresh = (): ReadonlyArray<readonly [NodeId, Summary]> => {
		const due = readNow() - summaryLifeMs;
		return [...notes].filter(([, noted]) => noted.at >= due).map(([node, noted]) => [node, noted.summary]);
	};

	const getOwn = (): Summary => {
		const children = new Set(distributor.getPlace().children);
		const summaries = listFresh().filter(([node]) => children.has(node)).map(([, summary]) => summary);
		return buildSummary({
			failureDomain: domain, node: self, version: configuration.getConfiguration().version, reason,
		}, summaries);
	};

	const listFleet = (): readonly Summary[] => {
		const others = new Map<FailureDomain, Summary>();
		for (const [, summary] of listFresh()) {
			const known = others.get(summary.failureDomain);
			if (summary.failureDomain !== domain && (known === undefined || summary.nodes >= known.nodes)) {
				others.set(summary.failureDomain, summary);
			}
		}

		return [getOwn(), ...others.values()];
	};

	const askRelay = async (): Promise<readonly Summary[]> => {
		const relay = getRecord(directory.getDirectory(), distributor.getPlace().relay);
		if (relay === undefined) {
			return listFleet();
		}

		try {
			const reply = await peers.getClient(relay.controlAddress).fleetStatus({from: self}, {timeoutMs: peerTimeoutMs});
			return reply.summaries.map(summary => decodeSummary(summary));
		} catch {
			return listFleet();
		}
	};

	return {
		note(from, summary) {
			notes.set(from, {summary, at: readNow()});
			const due = readNow() - summaryLifeMs;
			for (const [node, noted] of notes) {
				if (noted.at < due) {
					notes.delete(node);
				}
			}
		},
		getOwn,
		getFleet: async canAsk => canAsk && !distributor.isRelay() ? askRelay() : listFleet(),
		setReason(text) {
			reason = text;
		},
	};
}
