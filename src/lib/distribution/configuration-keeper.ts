/**
 * Holds the configuration that is in force on this node. It moves forward only.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {
	applyDelta, applyBucketUpdate, createConfiguration,
	type ApplyError, type Configuration, type BucketUpdate, type Delta,
} from '../configuration/configuration.js';

/** Told that a newer version is in force. @internal */
export type ConfigurationListener = (change: ConfigurationChange) => void;

/** @internal */
export type ConfigurationChange = {
	readonly configuration: Configuration;
	/** The steps from the version before, oldest first; empty when there was no way of steps. */
	readonly deltas: readonly Delta[];
	/** `store`, `own` or the id of the node that it came from. */
	readonly from: string;
};

/** @public */
export type ConfigurationKeeper = {
	readonly getConfiguration: () => Configuration;
	/** The lowest version that may be served: what an earlier run of this node had applied. */
	readonly getFloor: () => number;
	readonly raiseFloor: (version: number) => void;
	/** Applies steps in order, as far as they fit. */
	readonly applyDeltas: (deltas: readonly Delta[], from: string) => Result<void, ApplyError>;
	readonly applyImage: (image: BucketUpdate, from: string) => Result<void, ApplyError>;
	/** Takes over a version that was built and checked from the store. */
	readonly adopt: (configuration: Configuration, deltas: readonly Delta[], from: string) => void;
	/** The steps after a version, or `undefined` if they are no longer held. */
	readonly listDeltasAfter: (version: number) => readonly Delta[] | undefined;
};

/** Steps kept for nodes that are a little behind. */
const keptDeltas = 512;

/** Steps and bytes are bounded too: a peer that is far behind compares buckets instead. */
const keptChanges = 4096;

function trimLog(log: readonly Delta[]): readonly Delta[] {
	let changes = 0;
	let start = log.length;
	while (start > 0 && log.length - start < keptDeltas) {
		changes += log[start - 1]?.changes.length ?? 0;
		if (changes > keptChanges) {
			break;
		}

		start--;
	}

	return start === 0 ? log : log.slice(start);
}

/**
 * Creates the keeper of a node that has applied nothing yet.
 *
 * @param handleChange - Told of every newer version.
 * @returns The keeper.
 * @internal
 */
export function createConfigurationKeeper(handleChange: ConfigurationListener): ConfigurationKeeper {
	let configuration = createConfiguration();
	let log: readonly Delta[] = [];
	let floor = 0;

	const moveTo = (next: Configuration, deltas: readonly Delta[], from: string): void => {
		// The one place that changes what is in force: a lower or equal version never gets past this line.
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

			moveTo(current, applied, from);
			return failure === undefined ? ok() : err(failure);
		},
		applyImage: (image, from) => applyBucketUpdate(configuration, image)
			.andTee(next => {
				moveTo(next, [], from);
			})
			.map(() => undefined),
		adopt(next, deltas, from) {
			moveTo(next, deltas.filter(delta => delta.version > configuration.version), from);
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
