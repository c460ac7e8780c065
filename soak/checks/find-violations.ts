/**
 * Every check of a soak.
 *
 * @module
 */
import {type SoakRecord, type Violation} from '../record.js';
import {checkAnswers} from './check-answers.js';
import {checkLosses} from './check-losses.js';
import {checkProcesses, checkRecovery} from './check-processes.js';
import {checkDrains, checkRuns, checkUnsentRequests} from './check-runs.js';
import {checkVersions, type VersionCheckSettings} from './check-versions.js';

/** What checks need to know beside the record. */
export type CheckSettings = VersionCheckSettings & {
	/** The service of the server beside a node. */
	readonly getNodeService: (node: string) => string;
};

/**
 * @param record - What was seen.
 * @param settings - What the checks need beside it.
 * @returns Promises that were broken, in order of time.
 */
export function findViolations(record: SoakRecord, settings: CheckSettings): readonly Violation[] {
	return [
		...checkAnswers(record),
		...checkRuns(record, settings.getNodeService),
		...checkUnsentRequests(record),
		...checkDrains(record),
		...checkVersions(record, settings),
		...checkLosses(record),
		...checkProcesses(record),
		...checkRecovery(record),
	].toSorted((left, right) => left.at - right.at);
}
