/**
 * Checks that callers of a loaded mesh get what servers answered, and that servers get the time that callers have.
 *
 * @module
 */
import {groupBy, type Violation} from '../record.js';
import {
	findJudgedRun, isExcusedByDisturbance, isExcusedByServers, type LoadedDisturbance,
} from './check-lost.js';
import {type LoadedCall} from './loaded-callers.js';
import {findClass, getTimeLimitMs} from './loaded-config.js';
import {type LoadedRun} from './loaded-run.js';

/** Statuses that state that the request was not executed and will not be. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The end of a request this long before its time is over counts as at that time: the way to the server and back, and the step of timers. */
const timeMarginMs = 60;

/** What is wrong with the end of a request. */
type Problem = {readonly promise: string; readonly what: string};

/** Returns whether the caller got the complete answer of an execution. */
const isWholeAnswer = (call: LoadedCall, run: LoadedRun): boolean => call.status === run.status && call.isSigned && call.text.startsWith(`answer ${call.id} `);

/** Returns the execution whose answer the caller got. A safe request that is tried elsewhere has several. */
const findAnsweringRun = (call: LoadedCall, runs: readonly LoadedRun[]): LoadedRun | undefined =>
	runs.find(run => run.endedAt !== undefined && run.endedAt <= call.endedAt && isWholeAnswer(call, run));

function findProblem(call: LoadedCall, run: LoadedRun | undefined): Problem | undefined {
	if (run === undefined) {
		return undefined;
	}

	const usedMs = call.endedAt - call.sentAt;
	const limitMs = getTimeLimitMs(call.target);
	const isTimeOver = usedMs >= limitMs - timeMarginMs;
	const end = run.endedAt === undefined ? 'did not answer' : `answered ${run.status} after ${run.endedAt - call.sentAt} ms`;
	const server = `${run.server}, which began after ${run.at - call.sentAt} ms with ${run.leftMs} ms left and ${end}`;
	const got = `${call.id} ${call.target} got ${call.status === 0 ? 'no answer' : call.status} after ${usedMs} of ${limitMs} ms from ${server}`;
	if (notRunStatuses.has(call.status)) {
		return {promise: 'not run can be trusted', what: got};
	}

	if (isTimeOver) {
		return undefined;
	}

	if (run.status === 504 || run.brokenOffAt !== undefined) {
		return {promise: 'a server may work until the time of its caller is over', what: got};
	}

	return isWholeAnswer(call, run) ? undefined : {promise: 'what a server answers reaches its caller', what: got};
}

/**
 * Finds requests that a server executed and whose callers did not get its answer although they waited for it.
 *
 * @param calls - The requests of callers.
 * @param runs - The executions at servers.
 * @param disturbances - The unplanned disturbances.
 * @returns The violations. A request that was executed several times is judged by the execution whose answer its caller got, else by the last
 * that no server gave up. A disturbance, and servers that gave up, excuse that there is no answer, but no wrong one.
 */
export function checkLoaded(calls: readonly LoadedCall[], runs: readonly LoadedRun[], disturbances: readonly LoadedDisturbance[] = []): readonly Violation[] {
	const runsByCall = groupBy(runs, ({id}) => id);
	return calls.flatMap(call => {
		const ownRuns = runsByCall.get(call.id) ?? [];
		const run = findAnsweringRun(call, ownRuns) ?? findJudgedRun(ownRuns);
		const problem = findProblem(call, run);
		const mayLackAnswer = isExcusedByServers(call, ownRuns) || isExcusedByDisturbance(call, run, disturbances);
		const isExcused = mayLackAnswer && !notRunStatuses.has(call.status) && !(call.status >= 200 && call.status < 300);
		return problem === undefined || isExcused ? [] : [{...problem, at: call.endedAt, call: call.id}];
	});
}

/**
 * Finds requests that must not run twice and did.
 *
 * @param runs - The executions at servers.
 * @returns The violations.
 */
export function checkRepeatedRuns(runs: readonly LoadedRun[]): readonly Violation[] {
	return [...groupBy(runs, ({id}) => id)].filter(([, own]) => own.length > 1 && findClass(own[0]!.target).type !== 'safe').map(([id, own]) => ({
		promise: 'at most once', what: `${id} ran ${own.length} times`, at: own[1]!.at, call: id,
	}));
}
