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
import {readServerLoad, type ServerLoadReport} from '../server-notices/server-load.js';
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
	readonly slots: Pick<SlotPool, 'countRunning' | 'recordSlowness'>;
	readonly loadReports: Pick<LoadReports, 'record'>;
};

/** Applies what the headers of a response say of its server. @internal */
export type NoticeReader = {
	/** Records the load report as soon as the headers have arrived, since it describes that moment. Returns it if the server executed the request. */
	readonly recordLoad: (headers: IncomingHttpHeaders) => ServerLoadReport | undefined;
	/** Applies the other notices of a complete response. */
	readonly recordNotices: (headers: IncomingHttpHeaders) => void;
};

/**
 * Creates the reader of the notices of one server. A response with neither a signature nor a
 * refusal may come from another process and changes nothing.
 *
 * @param lifetime - The lifetime of the server.
 * @param targets - The parts of the session that the notices change.
 * @param context - The names of the headers, and the dependencies.
 * @returns The reader.
 * @internal
 */
export function createNoticeReader(lifetime: ServerLifetime, {limiter, slots, loadReports}: NoticeTargets, context: ResponseNoticesContext): NoticeReader {
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

	const isFromServer = (headers: IncomingHttpHeaders): boolean => headers[headerNames.signature] !== undefined || headers[headerNames.notRun] !== undefined;

	/** Records the load that a response reports. A load that cannot be read changes nothing. */
	const recordLoad = (headers: IncomingHttpHeaders): ServerLoadReport | undefined => {
		if (!isFromServer(headers)) {
			return undefined;
		}

		const load = readServerLoad(headers, headerNames);
		if (load.isErr()) {
			context.refusals.record({
				kind: 'load-refused', cause: 'unreadable', place: lifetime.id, reason: load.error,
			});
			return undefined;
		}

		const report = load.value;
		if (report === undefined) {
			return undefined;
		}

		loadReports.record(report, slots.countRunning(), readSteadyMs());
		if (report.slowness !== undefined) {
			slots.recordSlowness(report.slowness);
		}

		return headers[headerNames.notRun] === undefined ? report : undefined;
	};

	return {
		recordLoad,
		recordNotices(headers) {
			if (!isFromServer(headers)) {
				return;
			}

			recordLimit(headers);
			if (isLeavingNotice(headers, headerNames)) {
				context.handleLeaving(lifetime);
			}
		},
	};
}
