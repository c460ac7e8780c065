/**
 * The requests that a gate has at its backend server, compared with the load reports of that
 * server. It answers the load of a server that never responds to a request that it could not queue:
 * such a request takes far longer than others, and the server does not count it.
 *
 * A slow request is not a hang. It is regarded as lost only if the server has answered requests sent
 * later without a load report, or if its reports show fewer requests than the gate has sent.
 *
 * The time at which the gate reads a report does not tell when the server wrote it: either of them may have stood still in between.
 * A server writes a report after it has read the request that it answers. So only the answers to requests that were sent
 * after another one show that the server lacks that one.
 *
 * @module
 */
import {type ServerLoadReport} from '../server-notices/server-load.js';

/** What a backend server reports of its load. @internal */
export type LoadReport = Pick<ServerLoadReport, 'running' | 'waiting' | 'slots'>;

/** A request at the server. Times are milliseconds of the clock that does not advance while this VM is suspended. @internal */
export type SentRequest = {
	/** Numbers the requests in the order in which they were sent. */
	readonly id: number;
	readonly sentAt: number;
	/** Requests in flight when it was sent, without those given up since. */
	aheadCount: number;
	/** Whether no byte of its response has arrived. */
	isSilent: boolean;
	/** Whether its response carried a load report. */
	hasReport: boolean;
	/** Whether it was found to hang. */
	isHung: boolean;
};

/** Why a request counts as hung: the server does not report it, or has answered later ones without a report. @internal */
export type HangKind = 'not-reported' | 'overtaken';

/** A request that the server will not answer. @internal */
export type Hang = {
	readonly request: SentRequest;
	readonly kind: HangKind;
	/** Requests that were in flight when it was sent, and have been answered since. */
	readonly answeredAhead: number;
	/** Whether the server reported that it has no request at all, and so not this one. */
	readonly isServerIdle: boolean;
	/** How long it has taken, in milliseconds. */
	readonly ageMs: number;
};

/** What a load report says beside the requests that the gate knows. @internal */
export type ReportComparison = {
	/** How many given-up requests, or requests of others, the server may have at most. */
	readonly maxUnknown: number;
	/** How many it has at least. */
	readonly minUnknown: number;
};

/** The evidence on a request that takes too long. @internal */
export type Silence = {
	/** Load reports on which it should have been. */
	readonly covering: number;
	/** How many requests the newest of them lacks; 0 without any. */
	readonly missing: number;
	/** Requests that take too long, this one included. */
	readonly late: number;
	/** Whether the reports show that the server has none of the late requests. If so, the request ended before the gate looked at them. */
	readonly isShown: boolean;
};

/** @internal */
export type ServerRequests = {
	readonly send: (now: number) => SentRequest;
	/** Records that the response to a request begins to arrive, and its load report. */
	readonly recordResponse: (request: SentRequest, report: LoadReport | undefined, now: number, heldCount: number) => ReportComparison | undefined;
	/** Records that a request was answered, or was given up. */
	readonly finish: (request: SentRequest, isAnswered: boolean) => void;
	/** Returns the requests that count as hung if they take longer than `thresholdMs`, each once. */
	readonly findHung: (thresholdMs: number, now: number) => readonly Hang[];
	/** Describes the evidence on a request that takes longer than `thresholdMs`; `undefined` if it does not, or if its response has begun to arrive. */
	readonly describeSilence: (request: SentRequest, thresholdMs: number, now: number) => Silence | undefined;
	/**
	 * Returns when to look for hung requests again: when the next request will have taken `thresholdMs`, or as soon as a response
	 * that has just arrived (`hasEvidence`) may show that one which has taken longer is hung; `undefined` if there is neither.
	 */
	readonly computeNextCheck: (thresholdMs: number, now: number, hasEvidence: boolean) => number | undefined;
	/** Returns the number of requests in flight whose responses are expected, without those that were found to hang. */
	readonly countExpected: () => number;
};

/** A load report, compared with the requests in flight when it arrived. */
type ComparedReport = {
	/** When it was read. */
	readonly at: number;
	/** When the request was sent with whose response it came. The server wrote it later. */
	readonly requestSentAt: number;
	/** Id of the request sent last. */
	readonly lastId: number;
	/** Requests without a response, except the one that carried the report. */
	readonly silentCount: number;
	/** How many of them the server does not count. */
	readonly missing: number;
	readonly isServerIdle: boolean;
};

/** A request has arrived at the server on the same VM before one that is sent this much later, in milliseconds. */
const arrivalMs = 20;

/** A response that the server had finished before a report has arrived this long after the report, in milliseconds. */
const responseMs = 20;

/** Number of reports that are kept: more than are needed as evidence. */
const maxReportCount = 32;

/**
 * Reports in a row that show too few requests before a request counts as hung. Single reports miss requests that are on
 * their way to the server, and responses on their way back, which happens to a third of them at a busy server.
 */
const minReportCount = 8;

/** Reports of more requests than the gate knows, after which the server is taken to count the request that it answers. */
const minOwnReports = 5;

/** Time over which these reports are spread, in milliseconds. Work of an earlier run of the gate, which looks alike, is mostly over by then. */
const ownLearningMs = 500;

/**
 * @returns The requests of a server that has none.
 * @internal
 */
export function createServerRequests(): ServerRequests {
	/** In the order in which they were sent. */
	const inFlight = new Map<number, SentRequest>();
	let nextId = 1;
	/** Id of the last request that was answered without a load report. */
	let lastUnreportedId = 0;
	/** Newest last. */
	const reports: ComparedReport[] = [];
	/** Whether the server counts the request with whose response it sends a report; `undefined` if unknown. */
	let isOwnCounted: boolean | undefined;
	let ownReports = 0;
	let firstOwnReportAt = 0;

	/** Requests on their way only make a report smaller, so one that exceeds the other known requests counts the one that it answers. */
	const learnOwnCount = (reported: number, otherCount: number, now: number): void => {
		if (reported === 0) {
			isOwnCounted = false;
		} else if (reported > otherCount && isOwnCounted === undefined) {
			firstOwnReportAt = ownReports === 0 ? now : firstOwnReportAt;
			ownReports++;
			isOwnCounted = ownReports >= minOwnReports && now - firstOwnReportAt >= ownLearningMs ? true : undefined;
		}
	};

	const compareReport = (answered: SentRequest, {running, waiting}: LoadReport, now: number, heldCount: number): ReportComparison => {
		const reported = running + waiting;
		let silentCount = 0;
		let arrivedCount = 0;
		for (const {isSilent, isHung, sentAt} of inFlight.values()) {
			silentCount += isSilent ? 1 : 0;
			// A request that the server has lost is none of those that it reports.
			arrivedCount += isSilent && !isHung && now - sentAt >= arrivalMs ? 1 : 0;
		}

		const others = inFlight.size - 1;
		learnOwnCount(reported, others + heldCount, now);
		const leastOwn = isOwnCounted === true ? 1 : 0;
		const mostOwn = isOwnCounted === false ? 0 : 1;
		const comparison = {maxUnknown: Math.max(0, reported - mostOwn - arrivedCount), minUnknown: Math.max(0, reported - mostOwn - others)};
		const compared: ComparedReport = {
			at: now, requestSentAt: answered.sentAt, lastId: nextId - 1, silentCount, missing: silentCount - (reported - leastOwn), isServerIdle: reported === leastOwn,
		};
		reports.push(compared);
		if (reports.length > maxReportCount) {
			reports.shift();
		}

		return comparison;
	};

	/** Returns the reports on which a request that was sent at a time is usually found, newest first. */
	const listCovering = ({id, sentAt}: SentRequest): readonly ComparedReport[] =>
		reports.filter(report => report.lastId >= id && report.at >= sentAt + arrivalMs).toReversed();

	/**
	 * Returns the reports that show too few requests, newest first: those read since the newest one that does not, and written after
	 * the last of the late requests had arrived. Fewer missing requests than late ones may be any requests.
	 */
	const listEvidence = (covering: readonly ComparedReport[], {sentAt}: SentRequest, lateCount: number): readonly ComparedReport[] => {
		const firstOther = covering.findIndex(({missing}) => missing < lateCount);
		const unbroken = firstOther === -1 ? covering : covering.slice(0, firstOther);
		return unbroken.filter(({requestSentAt}) => requestSentAt >= sentAt + arrivalMs);
	};

	/** Whether the evidence shows that the server has none of the requests that take too long. */
	const areNotReported = (evidence: readonly ComparedReport[], lateCount: number, now: number): boolean => {
		const isOldEnough = ({at}: ComparedReport): boolean => now - at >= responseMs;
		// Without other requests at the server, a report misses none that is on its way. A server without any request has none of them, however many there are.
		return evidence.some(report => isOldEnough(report) && (evidence.length >= minReportCount || report.silentCount <= lateCount || report.isServerIdle));
	};

	const countAnsweredAhead = ({id, aheadCount}: SentRequest): number => {
		let stillAhead = 0;
		for (const otherId of inFlight.keys()) {
			stillAhead += otherId < id ? 1 : 0;
		}

		return Math.max(0, aheadCount - stillAhead);
	};

	const listLate = (thresholdMs: number, now: number): readonly SentRequest[] => {
		const late: SentRequest[] = [];
		for (const request of inFlight.values()) {
			if (now - request.sentAt <= thresholdMs) {
				break;
			}

			if (request.isSilent) {
				late.push(request);
			}
		}

		return late;
	};

	return {
		send(now) {
			const request: SentRequest = {
				id: nextId++, sentAt: now, aheadCount: inFlight.size, isSilent: true, hasReport: false, isHung: false,
			};
			inFlight.set(request.id, request);
			return request;
		},
		recordResponse(request, report, now, heldCount) {
			request.isSilent = false;
			request.hasReport = report !== undefined;
			return report === undefined ? undefined : compareReport(request, report, now, heldCount);
		},
		finish(request, isAnswered) {
			inFlight.delete(request.id);
			if (isAnswered) {
				lastUnreportedId = request.hasReport ? lastUnreportedId : Math.max(lastUnreportedId, request.id);
				return;
			}

			for (const other of inFlight.values()) {
				other.aheadCount -= other.id > request.id ? 1 : 0;
			}
		},
		findHung(thresholdMs, now) {
			const late = listLate(thresholdMs, now);
			const lastLate = late.at(-1);
			if (lastLate === undefined) {
				return [];
			}

			const take = (requests: readonly SentRequest[]): readonly SentRequest[] => {
				const found = requests.filter(({isHung}) => !isHung);
				for (const request of found) {
					request.isHung = true;
				}

				return found;
			};

			const covering = listCovering(lastLate);
			const evidence = listEvidence(covering, lastLate, late.length);
			const toHang = (kind: HangKind) => (request: SentRequest): Hang => ({
				request, kind, answeredAhead: countAnsweredAhead(request), isServerIdle: kind === 'not-reported' && isOwnCounted !== undefined && evidence[0]!.isServerIdle,
				ageMs: now - request.sentAt,
			});
			if (covering.length === 0) {
				return take(late.filter(({id}) => id < lastUnreportedId)).map(request => toHang('overtaken')(request));
			}

			return areNotReported(evidence, late.length, now) ? take(late).map(request => toHang('not-reported')(request)) : [];
		},
		describeSilence(request, thresholdMs, now) {
			if (!request.isSilent || now - request.sentAt <= thresholdMs) {
				return undefined;
			}

			const covering = listCovering(request);
			const late = listLate(thresholdMs, now).length;
			return {
				covering: covering.length, missing: covering[0]?.missing ?? 0, late, isShown: areNotReported(listEvidence(covering, request, late), late, now),
			};
		},
		computeNextCheck(thresholdMs, now, hasEvidence) {
			for (const {isSilent, isHung, sentAt} of inFlight.values()) {
				if (!isSilent || isHung) {
					continue;
				}

				if (now <= sentAt + thresholdMs) {
					return sentAt + thresholdMs;
				}

				if (hasEvidence) {
					return now + responseMs;
				}
			}

			return undefined;
		},
		countExpected: () => [...inFlight.values()].filter(({isHung}) => !isHung).length,
	};
}
