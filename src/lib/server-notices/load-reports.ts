/**
 * The load reports that a backend server made, as the gate keeps them: the latest one
 * with its age, and how slow the VM was while a request ran.
 *
 * @module
 */
import {type ServerLoadReport} from './server-load.js';

/** Times are milliseconds of the steady clock. @internal */
export type LoadReports = {
	/** Records a report that arrived while the gate had `ownRequests` requests at the server, including the one that was answered. */
	readonly record: (report: ServerLoadReport, ownRequests: number, now: number) => void;
	/** Returns the latest report and its age; `undefined` if there is none or if it is old. */
	readonly getLatest: (now: number) => {readonly report: ServerLoadReport; readonly ageMs: number} | undefined;
	/** Returns the number of requests at the server that the gate did not send, or has given up, by the latest report. */
	readonly countUnknownRequests: (now: number) => number;
	/** Begins to measure how slow the VM is. The returned function ends that, and returns the factor of the usual time; 1 if the server does not say. */
	readonly startRun: () => () => number;
};

/** Older reports are dropped: most requests take less time, so the server has other ones by then. */
const maxAgeMs = 2000;

/** Requests that the gate did not send count for this long, a typical service time. Most have ended by then. */
const unknownRequestsMs = 300;

/**
 * @returns The reports of a server that has made none.
 * @internal
 */
export function createLoadReports(): LoadReports {
	let latest: {readonly report: ServerLoadReport; readonly unknownRequests: number; readonly at: number} | undefined;
	let slowness: number | undefined;
	return {
		record(report, ownRequests, now) {
			slowness = report.slowness ?? slowness;
			latest = {report, unknownRequests: Math.max(0, report.running + report.waiting - ownRequests), at: now};
		},
		getLatest: now => latest === undefined || now - latest.at > maxAgeMs ? undefined : {report: latest.report, ageMs: now - latest.at},
		countUnknownRequests: now => latest === undefined || now - latest.at > unknownRequestsMs ? 0 : latest.unknownRequests,
		startRun() {
			const atStart = slowness;
			return () => {
				const atEnd = slowness ?? 1;
				return ((atStart ?? atEnd) + atEnd) / 2;
			};
		},
	};
}
