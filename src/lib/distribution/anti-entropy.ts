/**
 * Compares what this node holds with what a heartbeat says of its sender, and
 * fetches what is lacking. This is what makes distribution certain: whatever a
 * push did not reach is found here.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type Address, type NodeId} from '../common/ids.js';
import {getRecord} from '../directory/directory.js';
import {type DirectoryKeeper} from '../directory/directory-keeper.js';
import {type Timeline} from '../timeline/timeline.js';
import {type ConfigurationKeeper} from './configuration-keeper.js';
import {type Distributor} from './distributor.js';
import {type StatusCollector} from './status-collector.js';

/** What a heartbeat says of its sender's state. @internal */
export type StateDigest = {
	readonly version: number;
	/** First characters of the configuration's digest. */
	readonly digest: string;
	/** First characters of the directory's digest. */
	readonly directoryDigest: string;
};

/** @internal */
export type AntiEntropyContext = {
	/** Milliseconds between two heartbeats. */
	readonly periodMs: number;
	readonly configuration: ConfigurationKeeper;
	readonly directory: DirectoryKeeper;
	readonly distributor: Distributor;
	readonly status: StatusCollector;
	readonly timeline: Timeline;
};

/** @internal */
export type AntiEntropy = {
	/** What this node's own heartbeats say. */
	readonly getStateDigest: () => StateDigest;
	/** Compares, and starts fetching what is lacking. */
	readonly compare: (held: StateDigest, from: NodeId) => void;
};

/** Characters of a digest that travel in a heartbeat. */
const shortDigestLength = 12;

/** Periods between two fetches of the directory: records on their way along the tree are no reason for one. */
const minimumDirectoryPullPeriods = 2;

/**
 * @param context - What it works with.
 * @returns The check.
 * @internal
 */
export function createAntiEntropy(context: AntiEntropyContext): AntiEntropy {
	const {periodMs, configuration, directory, distributor, status, timeline} = context;
	let lastDirectoryPullAt = 0;
	let isForked = false;

	const getStateDigest = (): StateDigest => {
		const {version, digest} = configuration.getConfiguration();
		return {
			version,
			digest: digest.slice(0, shortDigestLength),
			directoryDigest: directory.getDirectory().tree.root.slice(0, shortDigestLength),
		};
	};

	const pullDirectory = (address: Address): void => {
		const now = readNow();
		if (now - lastDirectoryPullAt >= periodMs * minimumDirectoryPullPeriods) {
			lastDirectoryPullAt = now;
			void distributor.pullDirectory(address);
		}
	};

	/** Two histories with the same number: neither is taken over, and an operator has to know. */
	const recordFork = (version: number, from: NodeId): void => {
		isForked = true;
		status.setLagReason(`holds another version ${version} than ${from}`);
		timeline.record({
			kind: 'configuration-refused', version, reason: 'fork', from,
		});
	};

	return {
		getStateDigest,
		compare(held, from) {
			const record = getRecord(directory.getDirectory(), from);
			if (record === undefined) {
				return;
			}

			const own = getStateDigest();
			if (held.version > own.version) {
				void distributor.pullConfiguration(record.controlAddress, from);
			} else if (held.version === own.version && held.digest !== own.digest) {
				recordFork(own.version, from);
			} else if (held.version === own.version && isForked) {
				isForked = false;
				status.setLagReason('');
			}

			if (held.directoryDigest !== own.directoryDigest) {
				pullDirectory(record.controlAddress);
			}
		},
	};
}
