/**
 * Holds the configuration in force on this node. Its version only increases.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {
	applyDelta, applyBucketUpdate, createConfiguration,
	type ApplyError, type Configuration, type BucketUpdate, type Delta,
} from '../configuration/configuration.js';

/** Called when a newer version is in force. @internal */
export type ConfigurationListener = (change: ConfigurationChange) => void;

/** @internal */
export type ConfigurationChange = {
	readonly configuration: Configuration;
	/** The deltas from the previous version, oldest first; empty if the version was not reached by deltas. */
	readonly deltas: readonly Delta[];
	/** The source: `store`, `own` if this node read or wrote it while accepting submissions, or the id of the node that sent it. */
	readonly from: string;
};

/** @public */
export type ConfigurationKeeper = {
	readonly getConfiguration: () => Configuration;
	/** Returns the lowest version that may be served: the version that an earlier run of this node had applied. */
	readonly getFloor: () => number;
	readonly raiseFloor: (version: number) => void;
	/** Applies deltas in order up to the first that cannot be applied. */
	readonly applyDeltas: (deltas: readonly Delta[], from: string) => Result<void, ApplyError>;
	readonly applyUpdate: (update: BucketUpdate, from: string) => Result<void, ApplyError>;
	/** Puts a version in force that was read from the store and verified, if it is newer. */
	readonly applyIfNewer: (configuration: Configuration, deltas: readonly Delta[], from: string) => void;
	/** Returns the deltas after a version, or `undefined` if they are no longer in the log. */
	readonly listDeltasAfter: (version: number) => readonly Delta[] | undefined;
};

/** Maximum number of deltas in the log, from which nodes that are a few versions behind are updated. */
const maximumLogDeltaCount = 512;

/** Maximum number of changes in the deltas of the log, to bound its memory. A peer that is further behind compares buckets instead. */
const maximumLogChangeCount = 4096;

function trimLog(log: readonly Delta[]): readonly Delta[] {
	let changes = 0;
	let start = log.length;
	while (start > 0 && log.length - start < maximumLogDeltaCount) {
		changes += log[start - 1]?.changes.length ?? 0;
		if (changes > maximumLogChangeCount) {
			break;
		}

		start--;
	}

	return start === 0 ? log : log.slice(start);
}

/**
 * Creates the keeper of a node, with an empty configuration.
 *
 * @param handleChange - Called for every newer version.
 * @returns The keeper.
 * @internal
 */
export function createConfigurationKeeper(handleChange: ConfigurationListener): ConfigurationKeeper {
	let configuration = createConfiguration();
	let log: readonly Delta[] = [];
	let floor = 0;

	const replaceIfNewer = (next: Configuration, deltas: readonly Delta[], from: string): void => {
		// Nothing else replaces the configuration in force, so its version never decreases.
		if (next.version <= configuration.version) {
			return;
		}

		const isConnected = deltas[0]?.parentDigest === configuration.digest;
		configuration = next;
		log = trimLog(isConnected ? [...log, ...deltas] : []);
		handleChange({configuration, deltas: isConnected ? deltas : [], from});
	};

	return {
		getConfiguration: () => configuration,
		getFloor: () => floor,
		raiseFloor(version) {
			floor = Math.max(floor, version);
		},
		applyDeltas(deltas, from) {
			let current = configuration;
			const applied: Delta[] = [];
			let failure: ApplyError | undefined;
			for (const delta of deltas.filter(candidate => candidate.version > configuration.version)) {
				const next = applyDelta(current, delta);
				if (next.isErr()) {
					failure = next.error;
					break;
				}

				current = next.value;
				applied.push(delta);
			}

			replaceIfNewer(current, applied, from);
			return failure === undefined ? ok() : err(failure);
		},
		applyUpdate: (update, from) => applyBucketUpdate(configuration, update)
			.andTee(next => {
				replaceIfNewer(next, [], from);
			})
			.map(() => undefined),
		applyIfNewer(next, deltas, from) {
			replaceIfNewer(next, deltas.filter(delta => delta.version > configuration.version), from);
		},
		listDeltasAfter(version) {
			if (version === configuration.version) {
				return [];
			}

			const first = log[0]?.version;
			return first === undefined || version < first - 1 ? undefined : log.filter(delta => delta.version > version);
		},
	};
}
