/**
 * Checks that no gate makes its server hang, and that a request that a server loses
 * for a reason of its own costs no more than its attempt.
 *
 * @module
 */
import {
	isDisturbed, type HangRecord, type SoakRecord, type Violation,
} from '../record.js';
import {steadyRoutes} from '../soak-config.js';

/** Faults that bring more requests to a server than its gate can know of: a slot count that is too high, and a link that loses responses. */
const excusedFaults: ReadonlySet<string> = new Set(['server-lie', 'server-link']);

/** Time for which the effects of such a fault last: the longest delay of a heartbeat with the true count, and the timeout of a request. */
const excusedMs = 8000;

/** Latency objective of the routes. */
const objectiveMs = 400;

/** A gate knows the service times of a server that had this many requests in the last second. */
const knownRuns = 22;

/** The gate learns from responses that the server lost a request: so many within the objective. */
const minRunsSince = 3;

const settleMs = 1000;

/** A gate waits for this multiple of the longest usual time of a request at its server. */
const hangFactor = 4;

/** Time for which the gate uses the service times that it has seen: some hundred requests. */
const serviceTimesMs = 10_000;

/** Time from when a gate may end a request until it has. */
const slackMs = 150;

/** Returns how long a gate may wait for a lost request: for the objective, or longer if the server had requests that took long. */
function computeAllowedMs({calls, runs}: SoakRecord, {at, server}: HangRecord): number {
	const recent = new Set(runs.filter(run => run.server === server && run.at < at && run.at > at - serviceTimesMs).map(({id}) => id));
	const longestMs = Math.max(0, ...calls.filter(({id, status}) => recent.has(id) && status === 200).map(({sentAt, endedAt}) => endedAt - sentAt));
	return Math.max(objectiveMs, (longestMs * hangFactor) + slackMs);
}

function isExcused(record: SoakRecord, {at, node}: HangRecord): boolean {
	return isDisturbed(record, at - excusedMs, at, disturbance => disturbance.node === node && excusedFaults.has(disturbance.what));
}

/** Whether the gate had what it needs to notice the hang: it ran, nothing else was wrong with the server, and the server responded to others. */
function isNoticeable(record: SoakRecord, {at, node, server, id}: HangRecord): boolean {
	const call = record.calls.find(other => other.id === id);
	const isRepeatable = call !== undefined && (call.route.type !== 'steady' || steadyRoutes.some(route => route === call.route && route.isSafe));
	if (!isRepeatable || isDisturbed(record, at - settleMs, at + objectiveMs, disturbance => disturbance.node === node && disturbance.what !== 'server-hang')) {
		return false;
	}

	const runs = record.runs.filter(run => run.server === server && run.behaviour === 'answer');
	return runs.filter(run => run.at < at && run.at > at - settleMs).length >= knownRuns && runs.filter(run => run.at > at && run.at < at + (objectiveMs / 2)).length >= minRunsSince;
}

/**
 * Finds hangs that gates caused, and hangs that last longer than the latency objective, or than four times the longest request, although the gate could notice them.
 *
 * @param record - What was observed.
 * @returns The violations.
 */
export function checkHangs(record: SoakRecord): readonly Violation[] {
	return record.hangs.flatMap((hang): readonly Violation[] => {
		const {at, id, server, isOwnFault, isConnectionHung, closedAt} = hang;
		if (isExcused(record, hang)) {
			return [];
		}

		if (!isOwnFault || isConnectionHung) {
			return [{
				promise: 'no hang by a gate', what: `${server} never responded to ${id}${isConnectionHung ? ', whose connection had hung before' : ', for which it had no place'}`, at, call: id,
			}];
		}

		return closedAt !== undefined && closedAt - at > computeAllowedMs(record, hang) && isNoticeable(record, hang)
			? [{
				promise: 'hangs are over', what: `the gate waited ${closedAt - at} ms for the response of ${server} to ${id}`, at, call: id,
			}]
			: [];
	});
}
