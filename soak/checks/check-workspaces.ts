/**
 * Checks that requests run under the workspace that holds their key, and that
 * backend servers see no key.
 *
 * @module
 */
import {
	groupBy, type CallRecord, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';
import {getKeyWorkspace} from '../soak-config.js';
import {isCalmNode, listWrittenConfigs, type VersionCheckSettings} from './check-versions.js';

const unauthorized = 401;

/** Returns the configurations that a request may have been handled by until a time: not older than the newest one that was due when it was sent, unless its node was disturbed. */
function listPossibleConfigs(record: SoakRecord, call: CallRecord, until: number, bounds: VersionCheckSettings): readonly number[] {
	const oldest = isCalmNode(record, call, bounds) ? Math.max(0, ...listWrittenConfigs(record.changes, call.sentAt - bounds.applyMs)) : 0;
	return listWrittenConfigs(record.changes, until).filter(index => index >= oldest);
}

function checkRun(record: SoakRecord, call: CallRecord, run: RunRecord, bounds: VersionCheckSettings): readonly Violation[] {
	const violations: Violation[] = [];
	const add = (promise: string, what: string): void => {
		violations.push({
			promise, what: `${call.id}: ${what}`, at: run.at, call: call.id,
		});
	};

	if (run.hasCredentials) {
		add('servers see no key', `${run.server} received credentials`);
	}

	// All routes need a key, so that a request runs under some workspace.
	const isHeld = run.workspace !== undefined && listPossibleConfigs(record, call, run.at, bounds).some(index => getKeyWorkspace(call.key, index) === run.workspace);
	if (!isHeld) {
		add('each request under its workspace', `ran with the key ${call.key ?? '(none)'} under the workspace ${run.workspace ?? '(none)'}, which does not hold it in any configuration that may have been in force`);
	}

	return violations;
}

function checkRefusal(record: SoakRecord, call: CallRecord, bounds: VersionCheckSettings): readonly Violation[] {
	const mayBeUnknown = listPossibleConfigs(record, call, call.endedAt, bounds).some(index => getKeyWorkspace(call.key, index) === undefined);
	return call.status !== unauthorized || mayBeUnknown
		? []
		: [{
			promise: 'a known key is accepted', what: `${call.id} got 401 with the key ${call.key ?? '(none)'}, which every configuration holds that may have been in force`, at: call.endedAt, call: call.id,
		}];
}

/**
 * Finds requests that ran under a workspace that does not hold their key, or were refused though it does.
 *
 * @param record - What was observed.
 * @param bounds - The time limit of a configuration change, from which on a withdrawn key must not run any more.
 * @returns The violations.
 */
export function checkWorkspaces(record: SoakRecord, bounds: VersionCheckSettings): readonly Violation[] {
	const runsByCall = groupBy(record.runs, ({id}) => id);
	return record.calls.flatMap(call => [
		...(runsByCall.get(call.id) ?? []).flatMap(run => checkRun(record, call, run, bounds)),
		...checkRefusal(record, call, bounds),
	]);
}
