/**
 * The record of one rollout, which nodes exchange in heartbeats and keep in the
 * store. Merging two records gives the same result in any order, so nodes agree
 * on a rollout without a coordinator.
 *
 * @module
 */
import {FieldError} from '../common/field-error.js';
import {
	readAmount, readCount, readList, readName, readString,
} from '../common/read-input.js';
import {type StorePosition} from '../store/store-position.js';

/**
 * Stages of a rollout, in the order in which one replaces another when records are merged.
 *
 * - `canary`: a few servers of the target version get a small share of the requests.
 * - `loading`: these servers get enough requests to use all of their slots.
 * - `promoting`: the target version gets all requests; the other servers finish what they run.
 * - `rolled-back`: the target version gets no requests.
 * - `completed`: the store says that the target version has replaced the others.
 *
 * @internal
 */
export const rolloutStages = ['canary', 'loading', 'promoting', 'rolled-back', 'completed'] as const;

/** @internal */
export type RolloutStage = (typeof rolloutStages)[number];

/** An operator's order to replace the version of a service. @internal */
export type RolloutOrder = {
	readonly service: string;
	readonly targetVersion: string;
	/** Position of the order in the store. A later order of the same service replaces an earlier one. */
	readonly position: StorePosition;
	/** Time within which the operator wants the rollout to end, in milliseconds. */
	readonly durationMs: number;
};

/** @internal */
export type RolloutRecord = RolloutOrder & {
	readonly stage: RolloutStage;
	/** Why the rollout is in this stage, with the figures that decided it. */
	readonly reason: string;
	/** Time since the first node read the order, in milliseconds. */
	readonly ageMs: number;
	/** Versions of earlier orders of the service that were not completed, as far as the sender knows. */
	readonly rejectedVersions: readonly string[];
	/** Versions of earlier orders of the service that were completed. */
	readonly acceptedVersions: readonly string[];
};

/** Maximum number of rejected and of accepted versions in a record. Older ones have no servers any more. */
const maxVersionCount = 8;

/** Maximum length of a reason. A record has to fit into a datagram together with the rest of a report. */
const maxReasonLength = 160;

const maxDurationMs = Number.MAX_SAFE_INTEGER;

/** Unit of `ageMs` in an encoded record. */
const ageUnitMs = 10;

const getRank = (stage: RolloutStage): number => rolloutStages.indexOf(stage);

/** Returns whether two records are about the same order. A restored store keeps the revision of an order, but in a new era. */
const isSameOrder = (left: RolloutOrder, right: RolloutOrder): boolean => left.position.revision === right.position.revision && left.targetVersion === right.targetVersion;

const isLater = (left: StorePosition, right: StorePosition): boolean => left.era === right.era ? left.revision > right.revision : left.era > right.era;

function joinVersions(lists: ReadonlyArray<readonly string[]>, targetVersion: string): readonly string[] {
	return [...new Set(lists.flat())].filter(version => version !== targetVersion).toSorted((left, right) => left < right ? -1 : 1).slice(-maxVersionCount);
}

/**
 * Creates the record of an order that was just read.
 *
 * @param order - The order.
 * @returns A record in the first stage.
 * @internal
 */
export function createRecord(order: RolloutOrder): RolloutRecord {
	return {
		...order, stage: 'canary', reason: 'ordered', ageMs: 0, rejectedVersions: [], acceptedVersions: [],
	};
}

/** Merges two records of the same order: the higher stage and the higher age apply. */
function mergeSameOrder(left: RolloutRecord, right: RolloutRecord): RolloutRecord {
	const further = getRank(right.stage) > getRank(left.stage) ? right : left;
	return {
		...further,
		position: isLater(right.position, left.position) ? right.position : left.position,
		ageMs: Math.max(left.ageMs, right.ageMs),
		rejectedVersions: joinVersions([left.rejectedVersions, right.rejectedVersions], left.targetVersion),
		acceptedVersions: joinVersions([left.acceptedVersions, right.acceptedVersions], left.targetVersion),
	};
}

/**
 * Merges two records of one service. The record of the later order applies; the version of the earlier order is rejected
 * unless its rollout was completed. A version in both lists counts as accepted: the sender that rejected it had not heard
 * of its completion.
 *
 * @param left - One record.
 * @param right - The other record.
 * @returns The merged record.
 * @internal
 */
export function mergeRecords(left: RolloutRecord, right: RolloutRecord): RolloutRecord {
	if (isSameOrder(left, right)) {
		return mergeSameOrder(left, right);
	}

	const [earlier, later] = isLater(right.position, left.position) ? [left, right] : [right, left];
	const isAccepted = earlier.stage === 'completed';
	return {
		...later,
		rejectedVersions: joinVersions([earlier.rejectedVersions, later.rejectedVersions, isAccepted ? [] : [earlier.targetVersion]], later.targetVersion),
		acceptedVersions: joinVersions([earlier.acceptedVersions, later.acceptedVersions, isAccepted ? [earlier.targetVersion] : []], later.targetVersion),
	};
}

/**
 * @param record - A record.
 * @param version - Version of a server of its service.
 * @returns Whether the version gets no requests, because it was rolled back or its order was replaced before it was completed.
 * @internal
 */
export function isRejected({stage, targetVersion, rejectedVersions, acceptedVersions}: RolloutRecord, version: string): boolean {
	return version === targetVersion ? stage === 'rolled-back' : rejectedVersions.includes(version) && !acceptedVersions.includes(version);
}

/**
 * @param record - A record.
 * @returns Whether its rollout has not ended.
 * @internal
 */
export function isRunning({stage}: Pick<RolloutRecord, 'stage'>): boolean {
	return stage !== 'rolled-back' && stage !== 'completed';
}

/**
 * @param record - A record.
 * @returns The record as a list, with `ageMs` in units of 10 ms.
 * @internal
 */
export function encodeRecord({service, targetVersion, position, durationMs, stage, reason, ageMs, rejectedVersions, acceptedVersions}: RolloutRecord): readonly unknown[] {
	return [service, targetVersion, position.era, position.revision, durationMs, getRank(stage), Math.round(ageMs / ageUnitMs), rejectedVersions, acceptedVersions, reason.slice(0, maxReasonLength)];
}

function readStage(value: unknown, place: string): RolloutStage {
	const stage = rolloutStages[readCount(value, place)];
	if (stage === undefined) {
		throw new FieldError(place, value, `the index of a stage, 0 to ${rolloutStages.length - 1}`);
	}

	return stage;
}

function readVersions(value: unknown, place: string): readonly string[] {
	const versions = readList(value, place);
	if (versions.length > maxVersionCount) {
		throw new FieldError(place, value, `at most ${maxVersionCount} versions`);
	}

	return versions.map((version, index) => readName(version, `${place}.${index}`));
}

/**
 * @param value - A value from the network or the store.
 * @param place - Location of the value, for error messages.
 * @returns The record.
 * @throws FieldError when it cannot be read.
 * @internal
 */
export function decodeRecord(value: unknown, place: string): RolloutRecord {
	const [service, targetVersion, era, revision, durationMs, stage, age, rejectedVersions, acceptedVersions, reason] = readList(value, place);
	return {
		service: readName(service, `${place}.service`),
		targetVersion: readName(targetVersion, `${place}.targetVersion`),
		position: {era: readCount(era, `${place}.era`), revision: readCount(revision, `${place}.revision`)},
		durationMs: readAmount(durationMs, `${place}.durationMs`, maxDurationMs),
		stage: readStage(stage, `${place}.stage`),
		ageMs: readAmount(age, `${place}.age`, maxDurationMs) * ageUnitMs,
		rejectedVersions: readVersions(rejectedVersions, `${place}.rejectedVersions`),
		acceptedVersions: readVersions(acceptedVersions, `${place}.acceptedVersions`),
		reason: readString(reason, `${place}.reason`).slice(0, maxReasonLength),
	};
}
