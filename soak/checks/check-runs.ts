/**
 * Checks the requests that backend servers executed against the requests that
 * callers sent and the responses that they got.
 *
 * @module
 */
import {
	groupBy, type CallRecord, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';
import {getRunLimit, getRouteService} from '../soak-config.js';

/** Statuses of responses which state that the request was not executed and never will be. */
const notRunStatuses: ReadonlySet<number> = new Set([401, 408, 421, 429, 503]);

/** By how much the time limit that a server receives may exceed that of the caller. */
const deadlineToleranceMs = 500;

/** Returns what is wrong with an execution of a request; `undefined` if nothing is. */
function findProblem(call: CallRecord, run: RunRecord, callerService: string, newest: number): string | undefined {
	if (run.method !== call.method || run.target !== call.target) {
		return `it was executed as ${run.method} ${run.target}`;
	}

	if (run.behaviour !== 'early' && run.body !== call.body) {
		return 'its body differs from what the caller sent';
	}

	if (run.callerService !== callerService) {
		return `the server received ${run.callerService} as the service of the caller`;
	}

	if (!(run.leftMs <= call.timeLeftMs + deadlineToleranceMs)) {
		return `the server received a time limit of ${run.leftMs} ms, the caller set ${call.timeLeftMs}`;
	}

	const isAllowed = Array.from({length: newest + 1}, (_, index) => getRouteService(call.route, index)).includes(run.service as never);
	return isAllowed ? undefined : `no configuration routes it to ${run.service}`;
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
		add(limit === 1 ? 'at most once' : 'no more attempts than allowed', `was executed ${runs.length} times, ${limit} allowed, by ${runs.map(({server}) => server).join(', ')}`);
	}

	const isSafe = call.method === 'GET';
	if (!isSafe && notRunStatuses.has(call.status) && runs.length > 0) {
		add('not run can be trusted', `got status ${call.status}, but was executed by ${runs.map(({server, at}) => `${server} ${at - call.sentAt} ms after it was sent`).join(', ')}`);
	}

	return violations;
}

/**
 * Finds executions that differ from the request, are too many, or contradict the response.
 *
 * @param record - What was observed.
 * @param getCallerService - Returns the service of the backend server beside a node.
 * @returns The violations.
 */
export function checkRuns({calls, runs, changes}: SoakRecord, getCallerService: (node: string) => string): readonly Violation[] {
	const newest = Math.max(0, ...changes.map(({index}) => index));
	const runsByCall = groupBy(runs, ({id}) => id);
	return calls.flatMap(call => checkCall(call, runsByCall.get(call.id) ?? [], getCallerService(call.node), newest));
}

/**
 * Finds executions of requests that no caller sent. Callers record a request when it ends, so this is checked only after
 * all have ended.
 *
 * @param record - What was observed.
 * @returns The violations; none while the soak runs.
 */
export function checkUnsentRequests({calls, runs, ending}: SoakRecord): readonly Violation[] {
	if (ending === undefined) {
		return [];
	}

	const sent = new Set(calls.map(({id}) => id));
	return runs.filter(({id}) => !sent.has(id)).map(({id, server, target, at}) => ({promise: 'only what was sent', what: `${server} executed ${target} with the unknown id "${id}"`, at}));
}

/** How long after the acknowledgement of its draining requests may still arrive at a server: they were already on their way. */
const drainToleranceMs = 1000;

/**
 * Finds requests to draining servers.
 *
 * @param record - What was observed.
 * @returns Requests that arrived at a backend server too long after its draining was acknowledged.
 */
export function checkDrains({runs, drains}: SoakRecord): readonly Violation[] {
	const ackedAt = new Map(drains.map(drain => [drain.server, drain.ackedAt]));
	return runs.flatMap(({id, server, at}) => {
		const lateMs = at - (ackedAt.get(server) ?? Infinity);
		return lateMs > drainToleranceMs
			? [{
				promise: 'a leaving server gets no new work', what: `${id} arrived at ${server} ${lateMs} ms after its draining or leave was acknowledged`, at, call: id,
			}]
			: [];
	});
}
