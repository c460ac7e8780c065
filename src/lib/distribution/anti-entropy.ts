/**
 * Compares the state digest in a heartbeat with this node's state and pulls what
 * is missing (anti-entropy). Distribution relies on this: it repairs every push
 * that did not arrive.
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

/** The state of a node as its heartbeats report it. @internal */
export type StateDigest = {
	readonly version: number;
	/** Prefix of the configuration's digest. */
	readonly digest: string;
	/** Prefix of the directory's digest. */
	readonly directoryDigest: string;
};

/** @internal */
export type AntiEntropyContext = {
	/** Interval between two heartbeats. */
	readonly periodMs: number;
	readonly configuration: ConfigurationKeeper;
	readonly directory: DirectoryKeeper;
	readonly distributor: Distributor;
	readonly status: StatusCollector;
	readonly timeline: Timeline;
};

/** @internal */
export type AntiEntropy = {
	/** Returns the state that this node's heartbeats report. */
	readonly getStateDigest: () => StateDigest;
	/** Compares the sender's state with this node's and starts to pull what is missing. */
	readonly compare: (held: StateDigest, from: NodeId) => void;
};

/** Characters of a digest in a heartbeat. */
const shortDigestLength = 12;

/** Minimum number of heartbeat periods between two pulls of the directory. Records that are still being pushed along the tree should not cause a pull. */
const minimumDirectoryPullPeriods = 2;

/**
 * @param context - The dependencies.
 * @returns The anti-entropy of the node.
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

	/** Reports that another node holds the same version with a different digest. This node keeps its own; an operator has to resolve the fork. */
	const recordFork = (version: number, from: NodeId): void => {
		isForked = true;
		status.setLagReason(`version ${version} of this node has a different digest than on ${from}`);
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
