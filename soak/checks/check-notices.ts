/**
 * Checks that backend servers get no more requests than the limits that they
 * name, and none from nodes that passed on that they leave.
 *
 * @module
 */
import {
	groupBy, isDisturbed, type CallRecord, type LimitRecord, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';

/** A server gets at most this multiple of what its limit allows in a span, and some more. */
const limitFactor = 1.5;
const limitSlack = 5;
const spanMs = 4000;

/** The limit applies from this time after it was first named. */
const contactWindowMs = 3000;

/** A node counts from this time after it has passed the limit on. */
const noticeDelayMs = 500;

/** Time after a node has passed on that a server leaves from which that server gets no requests from it. */
const drainTimeoutMs = 2000;

/** Calls of a node that passed on a notice of a server, with the server. */
type PassedNotice = {readonly server: string; readonly node: string; readonly at: number};

/** Finds the server of each response that carries a notice: the last one that executed the request. */
function listPassed({calls}: SoakRecord, runsByCall: ReadonlyMap<string, readonly RunRecord[]>, hasNotice: (call: CallRecord) => boolean): readonly PassedNotice[] {
	return calls.filter(call => hasNotice(call)).flatMap(({id, node, endedAt}) => {
		const last = runsByCall.get(id)?.toSorted((left, right) => left.at - right.at).at(-1);
		return last === undefined ? [] : [{server: last.server, node, at: endedAt}];
	});
}

/** Returns whether a node was restarted or paused in a period. */
const hasNodeChanged = (record: SoakRecord, node: string, from: number, to: number): boolean =>
	isDisturbed(record, from, to, disturbance => disturbance.part === 'node' && disturbance.node === node)
	|| record.lifetimes.some(lifetime => lifetime.node === node && lifetime.startedAt >= from && lifetime.startedAt <= to);

/** Returns whether a node had passed a notice on by a time, and has neither restarted nor paused between that and a later one. */
function hasPassedOn(record: SoakRecord, passed: readonly PassedNotice[], node: string, by: number, until: number): boolean {
	const last = Math.max(...passed.filter(notice => notice.node === node && notice.at <= by).map(({at}) => at));
	return Number.isFinite(last) && !hasNodeChanged(record, node, last, until);
}

/** Finds the first span in which a server got too many requests while it named a limit. */
function checkLimit(record: SoakRecord, limit: LimitRecord, runs: readonly RunRecord[], passed: readonly PassedNotice[], getNode: (run: RunRecord) => string | undefined): readonly Violation[] {
	const current = passed.filter(({at}) => at >= limit.from);
	const counted = runs.filter(run => {
		const node = getNode(run);
		return node !== undefined && run.at <= limit.to && hasPassedOn(record, current, node, run.at - noticeDelayMs, run.at);
	});
	const allowed = (limitFactor * limit.perSecond * spanMs / 1000) + limitSlack;
	const late = counted.find(({at}) => at >= limit.from + contactWindowMs && counted.filter(run => run.at > at - spanMs && run.at <= at).length > allowed);
	return late === undefined
		? []
		: [{
			promise: 'limits of servers', what: `${limit.server} named a limit of ${limit.perSecond} and got more than ${allowed} requests in ${spanMs} ms`, at: late.at, call: late.id,
		}];
}

/**
 * Finds servers that got more requests than the limits that they named.
 *
 * @param record - What was observed.
 * @returns The violations.
 */
export function checkLimits(record: SoakRecord): readonly Violation[] {
	const runsByServer = groupBy(record.runs, ({server}) => server);
	const passed = groupBy(listPassed(record, groupBy(record.runs, ({id}) => id), ({namesLimit}) => namesLimit), ({server}) => server);
	const nodeByCall = new Map(record.calls.map(({id, node}) => [id, node]));
	return record.limits.flatMap(limit => checkLimit(record, limit, runsByServer.get(limit.server) ?? [], passed.get(limit.server) ?? [], ({id}) => nodeByCall.get(id)));
}

/**
 * Finds requests that a node sent to a server although it had passed on that the server leaves.
 *
 * @param record - What was observed.
 * @returns The violations.
 */
export function checkLeavingNotices(record: SoakRecord): readonly Violation[] {
	const passed = listPassed(record, groupBy(record.runs, ({id}) => id), ({saysLeaving}) => saysLeaving);
	if (passed.length === 0) {
		return [];
	}

	const callById = new Map(record.calls.map(call => [call.id, call]));
	const passedByServer = groupBy(passed, ({server}) => server);
	return record.runs.flatMap(({id, server, at}) => {
		const call = callById.get(id);
		return call !== undefined && hasPassedOn(record, passedByServer.get(server) ?? [], call.node, call.sentAt - drainTimeoutMs, at)
			? [{
				promise: 'a leaving server gets no new work', what: `${id} was sent to ${server} more than ${drainTimeoutMs} ms after ${call.node} had passed on that it leaves`, at, call: id,
			}]
			: [];
	});
}
