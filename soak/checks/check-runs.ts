/**
 * Checks what backend servers ran against what callers sent and were promised.
 *
 * @module
 */
import {
	groupBy, type CallRecord, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';
import {getRunLimit, getRouteService} from '../soak-config.js';

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** By how much a server may be given more time than the caller waits. Milliseconds. */
const deadlineToleranceMs = 500;

/** What is wrong with a run of a request that was sent; `undefined` if nothing is. */
function findProblem(call: CallRecord, run: RunRecord, callerService: string, newest: number): string | undefined {
	if (run.method !== call.method || run.target !== call.target) {
		return `it ran as ${run.method} ${run.target}`;
	}

	if (run.behaviour !== 'early' && run.body !== call.body) {
		return 'its body was changed';
	}

	if (run.callerService !== callerService) {
		return `the server was told that ${run.callerService} calls`;
	}

	if (!(run.leftMs <= call.timeLeftMs + deadlineToleranceMs)) {
		return `the server was given ${run.leftMs} ms of ${call.timeLeftMs}`;
	}

	const isAllowed = Array.from({length: newest + 1}, (_, index) => getRouteService(call.route, index)).includes(run.service as never);
	return isAllowed ? undefined : `no configuration lets ${run.service} run it`;
}

function checkCall(call: CallRecord, runs: readonly RunRecord[], callerService: string, newest: number): readonly Violation[] {
	const violations: Violation[] = [];
	const add = (promise: string, what: string): void => {
		violations.push({
			promise, what: `${call.id}: ${what}`, at: call.endedAt, call: call.id,
		});
	};

	for (const run of runs) {
		const problem = findProblem(call, run, callerService, newest);
		if (problem !== undefined) {
			add('only what was sent', problem);
		}
	}

	const limit = getRunLimit(call.route);
	if (runs.length > limit) {
		add(limit === 1 ? 'at most once' : 'no more attempts than allowed', `ran ${runs.length} times, ${limit} allowed, at ${runs.map(({server}) => server).join(', ')}`);
	}

	const isSafe = call.method === 'GET';
	if (!isSafe && notRunStatuses.has(call.status) && runs.length > 0) {
		add('not run can be trusted', `was answered ${call.status}, and ran at ${runs.map(({server, at}) => `${server} ${at - call.sentAt} ms after it was sent`).join(', ')}`);
	}

	return violations;
}

/**
 * @param record - What was seen.
 * @param getCallerService - The service of the server beside a node.
 * @returns Runs that should not have been.
 */
export function checkRuns({calls, runs, changes}: SoakRecord, getCallerService: (node: string) => string): readonly Violation[] {
	const newest = Math.max(0, ...changes.map(({index}) => index));
	const runsByCall = groupBy(runs, ({id}) => id);
	return calls.flatMap(call => checkCall(call, runsByCall.get(call.id) ?? [], getCallerService(call.node), newest));
}

/**
 * Whole only when every request has ended.
 *
 * @param record - What was seen.
 * @returns Runs of requests that no caller sent.
 */
export function checkUnsentRequests({calls, runs, ending}: SoakRecord): readonly Violation[] {
	if (ending === undefined) {
		return [];
	}

	const sent = new Set(calls.map(({id}) => id));
	return runs.filter(({id}) => !sent.has(id)).map(({id, server, target, at}) => ({promise: 'only what was sent', what: `${server} ran ${target} with the id "${id}", which nobody sent`, at}));
}

/** From its acknowledgement on, work may still reach a server that drains for this long. Milliseconds: requests on their way. */
const drainToleranceMs = 1000;

/**
 * @param record - What was seen.
 * @returns Requests that reached a server long after its draining was acknowledged.
 */
export function checkDrains({runs, drains}: SoakRecord): readonly Violation[] {
	const ackedAt = new Map(drains.map(drain => [drain.server, drain.ackedAt]));
	return runs.flatMap(({id, server, at}) => {
		const lateMs = at - (ackedAt.get(server) ?? Infinity);
		return lateMs > drainToleranceMs
			? [{
				promise: 'a leaving server gets no new work', what: `${id} reached ${server} ${lateMs} ms after its leaving was acknowledged`, at, call: id,
			}]
			: [];
	});
}
