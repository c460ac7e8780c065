/**
 * Runs all checks of a soak.
 *
 * @module
 */
import {type SoakRecord, type Violation} from '../record.js';
import {checkAnswers} from './check-answers.js';
import {checkHangs} from './check-hangs.js';
import {checkLosses, checkNestedCalls} from './check-losses.js';
import {checkLeavingNotices, checkLimits} from './check-notices.js';
import {checkProcesses, checkRecovery} from './check-processes.js';
import {checkDrains, checkRuns, checkUnsentRequests} from './check-runs.js';
import {checkVersions, type VersionCheckSettings} from './check-versions.js';
import {checkWorkspaces} from './check-workspaces.js';

/** Settings of the checks. */
export type CheckSettings = VersionCheckSettings & {
	/** Returns the service of the backend server beside a node. */
	readonly getNodeService: (node: string) => string;
};

/**
 * Finds all violations.
 *
 * @param record - What was observed.
 * @param settings - Settings of the checks.
 * @returns The violations, in order of time.
 */
export function findViolations(record: SoakRecord, settings: CheckSettings): readonly Violation[] {
	return [
		...checkAnswers(record),
		...checkRuns(record, settings.getNodeService),
		...checkUnsentRequests(record),
		...checkDrains(record),
		...checkLimits(record),
		...checkLeavingNotices(record),
		...checkHangs(record),
		...checkVersions(record, settings),
		...checkWorkspaces(record, settings),
		...checkLosses(record),
		...checkNestedCalls(record),
		...checkProcesses(record),
		...checkRecovery(record),
	].toSorted((left, right) => left.at - right.at);
}
