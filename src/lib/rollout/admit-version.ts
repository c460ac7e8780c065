/**
 * Decides which versions of a service a request may go to, at the entry, and
 * which requests a server of a version accepts, at its gate. Pure functions.
 *
 * @module
 */
import {isRejected, type RolloutRecord} from './rollout-record.js';

/** What a gate does with a request. @internal */
export type VersionAdmission =
	| {readonly type: 'admitted'}
	/** The version gets no requests. */
	| {readonly type: 'withheld'; readonly detail: string}
	/** The version gets only requests of entries that know of the rollout and count this one. */
	| {readonly type: 'limited'; readonly detail: string};

/** The server beside a gate. @internal */
export type VersionedServer = {
	readonly version: string;
	/** Whether it was replaced by a completed rollout. */
	readonly isReplaced: boolean;
};

const admitted: VersionAdmission = {type: 'admitted'};

/**
 * Decides whether a gate accepts a request.
 *
 * @param record - The rollout of the service; `undefined` if there is none.
 * @param server - The server beside the gate.
 * @param isCounted - Whether the entry knows of the rollout and counts the request.
 * @param hasOthers - Whether servers of other versions are known. The only version of a service is not limited.
 * @returns Whether the request is accepted.
 * @internal
 */
export function admitAtGate(record: RolloutRecord | undefined, {version, isReplaced}: VersionedServer, isCounted: boolean, hasOthers: boolean): VersionAdmission {
	if (isReplaced) {
		return {type: 'withheld', detail: `version ${version} was replaced`};
	}

	if (record === undefined) {
		return admitted;
	}

	const {stage, targetVersion} = record;
	if (isRejected(record, version)) {
		return {type: 'withheld', detail: `version ${version} was rolled back`};
	}

	if (version !== targetVersion) {
		return stage === 'promoting' ? {type: 'withheld', detail: `version ${targetVersion} replaces version ${version}`} : admitted;
	}

	const isLimited = (stage === 'canary' || stage === 'loading') && hasOthers && !isCounted;
	return isLimited ? {type: 'limited', detail: `version ${version} is being tested`} : admitted;
}

/**
 * Decides whether an entry may send an ordinary request to a server.
 *
 * @param record - The rollout of the service.
 * @param version - Version of the server.
 * @param hasOthers - Whether servers of other versions are known.
 * @returns Whether the request may be sent there. Requests that test the target version are chosen separately.
 * @internal
 */
export function mayReceive(record: RolloutRecord, version: string, hasOthers: boolean): boolean {
	if (isRejected(record, version)) {
		return false;
	}

	switch (record.stage) {
		case 'canary':
		case 'loading': {
			return version !== record.targetVersion || !hasOthers;
		}

		case 'promoting': {
			return version === record.targetVersion;
		}

		case 'rolled-back':
		case 'completed': {
			return true;
		}
	}
}
