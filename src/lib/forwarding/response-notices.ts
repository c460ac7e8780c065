/**
 * The only place that reads what a response says of its backend server: the limit
 * that it names, its load, and whether it leaves.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type SlotPool} from '../admission/slot-pool.js';
import {readSteadyMs} from '../common/clock.js';
import {type LoadReports} from '../server-notices/load-reports.js';
import {readServerLoad} from '../server-notices/server-load.js';
import {type ServerLimiter} from '../server-notices/server-limiter.js';
import {isLeavingNotice, readServerLimit} from '../server-notices/server-notice.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {type CallHeaderNames} from './call-headers.js';

/** @internal */
export type ResponseNoticesContext = {
	readonly headerNames: CallHeaderNames;
	readonly log: MeshLog;
	readonly refusals: Pick<RefusalLog, 'record'>;
	/** Called with each response in which the server says that it leaves. */
	readonly handleLeaving: (lifetime: ServerLifetime) => void;
};

/** The state of a session that notices change. @internal */
export type NoticeTargets = {
	readonly limiter: Pick<ServerLimiter, 'apply' | 'getLimit'>;
	readonly slots: Pick<SlotPool, 'describe' | 'recordSlowness'>;
	readonly loadReports: Pick<LoadReports, 'record'>;
};

/**
 * Creates a function that applies the notices in the headers of a response. A response with neither a signature nor a
 * refusal may come from another process and changes nothing.
 *
 * @param lifetime - The lifetime of the server.
 * @param targets - The parts of the session that the notices change.
 * @param context - The names of the headers, and the dependencies.
 * @returns The function.
 * @internal
 */
export function createNoticeReader(lifetime: ServerLifetime, {limiter, slots, loadReports}: NoticeTargets, context: ResponseNoticesContext): (headers: IncomingHttpHeaders) => void {
	const {headerNames, log} = context;

	/** Applies the limit that a response names. A limit that cannot be read changes nothing. */
	const recordLimit = (headers: IncomingHttpHeaders): void => {
		const limit = readServerLimit(headers, headerNames);
		if (limit.isErr()) {
			context.refusals.record({
				kind: 'limit-refused', cause: 'unreadable', place: lifetime.id, reason: limit.error,
			});
			return;
		}

		const before = limiter.getLimit();
		if (limiter.apply(limit.value)) {
			log.record('info', {
				kind: 'server-limit-changed', server: lifetime.id, perSecond: limit.value, before,
			});
		}
	};

	/** Records the load that a response reports. A load that cannot be read changes nothing. */
	const recordLoad = (headers: IncomingHttpHeaders): void => {
		const load = readServerLoad(headers, headerNames);
		if (load.isErr()) {
			context.refusals.record({
				kind: 'load-refused', cause: 'unreadable', place: lifetime.id, reason: load.error,
			});
			return;
		}

		const report = load.value;
		if (report === undefined) {
			return;
		}

		loadReports.record(report, slots.describe().running, readSteadyMs());
		if (report.slowness !== undefined) {
			slots.recordSlowness(report.slowness);
		}
	};

	return headers => {
		if (headers[headerNames.signature] === undefined && headers[headerNames.notRun] === undefined) {
			return;
		}

		recordLimit(headers);
		recordLoad(headers);
		if (isLeavingNotice(headers, headerNames)) {
			context.handleLeaving(lifetime);
		}
	};
}
