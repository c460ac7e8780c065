/**
 * Protects the backend server beside this node from more requests than it can hold, and
 * the callers from requests that it never responds to. The decisions are in `server-requests.ts`
 * and `concurrency-limit.ts`; this module holds their state and the timers.
 *
 * Hangs are looked for only if the server sends load reports. Slots are held unless it is known to send none.
 *
 * @module
 */
import {readAwakeMs, readSteadyMs} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {
	computeCapacity, computeSlotLimit, createConcurrencyLimit, lowerAfterHang, recordAnswer, type ConcurrencyLimit,
} from '../decisions/concurrency-limit.js';
import {computeLateWaitMs, type HeldRequest} from '../decisions/held-slots.js';
import {
	createServerRequests, type Hang, type LoadReport, type ReportComparison, type SentRequest,
} from '../decisions/server-requests.js';
import {createServiceTimes} from '../decisions/service-times.js';
import {type LogLevel, type MeshLog} from '../timeline/mesh-log.js';
import {type ExchangeResult} from './exchange.js';
import {createForeignWork} from './foreign-work.js';
import {createHangSearch} from './hang-search.js';
import {createHeldRequests} from './held-requests.js';

/** @internal */
export type HangWatchContext = {
	readonly server: BackendServerId;
	readonly log: MeshLog;
	/** Changes how many requests may be at the server at the same time, held ones included. */
	readonly resize: (slots: number) => void;
	/** Releases the slot of a request that was given up, or that the server has lost. */
	readonly releaseSlot: () => void;
	/** Returns the average service time in milliseconds. */
	readonly getServiceMs: () => number;
};

/** A request that is to be watched. @internal */
export type WatchedCall = {
	readonly id: string;
	/** When the server stops working on it at the latest, in milliseconds of the steady clock. */
	readonly deadlineAt: number;
	/** Returns whether the request may be run twice, so that it may be tried elsewhere although the server could be at work on it. */
	readonly isRepeatable: () => boolean;
};

/** @internal */
export type WatchedRequest = {
	/** Registers the function that ends the request because the server will not respond to it. */
	readonly listenForHang: (handleHang: (detail: string) => void) => void;
	/** Records that the response begins to arrive, with the load report in its headers. One without a signature or with a refusal does not show how busy the server is. */
	readonly recordResponse: (report: LoadReport | undefined, isExecuted: boolean) => void;
	/** Records that the caller has left. Returns how long the connection stays open for the response, in milliseconds; `undefined` to close it. */
	readonly leave: () => number | undefined;
	/** Records the end of the request for its caller. Returns whether the watch releases its slot, by `releaseSlot`, later or before. */
	readonly finish: (result: ExchangeResult) => boolean;
	/** Records the end of a request whose connection stayed open after its caller had left. */
	readonly finishLate: (result: ExchangeResult) => void;
};

/** @internal */
export type HangWatch = {
	readonly watch: (call: WatchedCall) => WatchedRequest;
	/** Applies the number of slots that the server announced. */
	readonly announceSlots: (slots: number) => void;
	/** Returns how many requests may be at the server, as the other nodes are told. */
	readonly getCapacity: () => number;
	/** Returns how many requests the gate sends to the server at the same time, held ones included. */
	readonly getSlotLimit: () => number;
	/** Returns until when the server may work on the requests that it has, in milliseconds of the steady clock, by the time that it was given; negative infinity if it has none. */
	readonly getLatestDeadline: () => number;
	/** Stops all timers and releases the slots that are held, because the server has ended. */
	readonly dispose: () => void;
};

/** Longest careful start in milliseconds: the usual time of the longest requests on a slow VM. Usually the first response ends it. */
const maxCarefulMs = 500;

/** A warning about a hang is logged at most once in this time, in milliseconds; further hangs are logged at debug level. */
const minWarningIntervalMs = 1000;

/** Whether the server may still work on a request after its end, because the gate or the caller gave it up before its deadline. */
const mayStillRun = (result: ExchangeResult): boolean =>
	result.type === 'failed' && result.isSent && (result.reason === 'cancelled' || result.reason === 'superseded' || result.reason === 'hung');

/** Whether the server sends load reports: unknown until it has executed a request. */
type Reporting = 'unknown' | 'reports' | 'no-reports';

/** A request with the function that ends it. */
type Watched = {
	readonly call: WatchedCall;
	readonly request: SentRequest;
	handleHang: ((detail: string) => void) | undefined;
	hang: Hang | undefined;
	/** Whether its slot was released although its response is awaited. */
	isSlotReleased: boolean;
	/** When its caller left, in milliseconds of the steady clock, while its connection is open for the response. */
	leftAt: number | undefined;
};

/**
 * Creates the watch of a server that has not answered yet.
 *
 * @param slots - Requests that the server executes at the same time.
 * @param isCareful - Whether the server may still work on requests of an earlier run of this node.
 * @param context - The server and the slots.
 * @returns The watch.
 * @internal
 */
export function createHangWatch(slots: number, isCareful: boolean, context: HangWatchContext): HangWatch {
	const requests = createServerRequests();
	const serviceTimes = createServiceTimes();
	const watchedById = new Map<number, Watched>();
	let limit = createConcurrencyLimit(slots, isCareful);
	let slotLimit = computeSlotLimit(limit);
	let reporting: Reporting = 'unknown';
	let isDisposed = false;
	let lastWarningAt = Number.NEGATIVE_INFINITY;
	let carefulTimer: NodeJS.Timeout | undefined;

	const applyLimit = (next: ConcurrencyLimit): void => {
		if (next === limit || isDisposed) {
			return;
		}

		limit = next;
		const nextLimit = computeSlotLimit(limit);
		if (nextLimit !== slotLimit) {
			slotLimit = nextLimit;
			context.resize(slotLimit);
		}
	};

	const held = createHeldRequests({
		server: context.server,
		log: context.log,
		handleChange(count) {
			applyLimit({...limit, held: count});
		},
		releaseSlot: context.releaseSlot,
	});

	const foreign = createForeignWork(count => {
		if (count !== limit.foreign) {
			applyLimit({...limit, foreign: count});
		}
	});

	const applyReport = (report: LoadReport, {minUnknown, maxUnknown}: ReportComparison): void => {
		reporting = 'reports';
		if (report.slots !== limit.reportedSlots) {
			applyLimit({...limit, reportedSlots: report.slots});
		}

		held.applyReport(maxUnknown);
		foreign.applyReport(Math.max(0, minUnknown - held.count()), limit.isCareful);
	};

	/** Whether the slot of a request that is given up stays taken. The first requests may be given up before any response shows whether the server sends reports. */
	const mayHoldSlots = (): boolean => !isDisposed && reporting !== 'no-reports';

	/** Records that the server executed a request without sending a report. No report will release the held slots. */
	const recordMissingReport = (): void => {
		if (reporting === 'unknown') {
			reporting = 'no-reports';
			held.releaseAll('no-reports');
		}
	};

	const endCarefulStart = (): void => {
		clearTimeout(carefulTimer);
		if (limit.isCareful) {
			applyLimit({...limit, isCareful: false});
		}
	};

	const getUsualMs = (): number | undefined => reporting === 'reports' && !isDisposed ? serviceTimes.getPercentile() : undefined;

	const chooseLogLevel = (now: number): LogLevel => {
		if (now - lastWarningAt < minWarningIntervalMs) {
			return 'debug';
		}

		lastWarningAt = now;
		return 'warn';
	};

	const handleHang = (watched: Watched, hang: Hang, usualMs: number): void => {
		watched.hang = hang;
		applyLimit(lowerAfterHang(limit, hang.answeredAhead));
		// Load reports never end a request that must not run twice: if they mislead, its response is lost. It waits for its deadline, at a server without any request in no slot.
		const isEnded = watched.call.isRepeatable();
		context.log.record(chooseLogLevel(readAwakeMs()), {
			kind: 'request-hung', call: watched.call.id, server: context.server, reason: hang.kind,
			ageMs: Math.round(hang.ageMs), usualMs: Math.round(usualMs), isEnded, limit: computeCapacity(limit),
		});
		if (isEnded) {
			watched.handleHang?.(hang.kind === 'not-reported'
				? 'the backend server does not report the request among those that it has'
				: 'the backend server has responded to requests that were sent later');
		} else if (hang.isServerIdle) {
			watched.isSlotReleased = true;
			context.releaseSlot();
		}
	};

	const hangSearch = createHangSearch({
		requests, getUsualMs,
		handleHang(hang, usualMs) {
			const watched = watchedById.get(hang.request.id);
			if (watched !== undefined) {
				handleHang(watched, hang, usualMs);
			}
		},
	});

	/** Logs a request that ended without a response after the time at which requests count as hung. */
	const logOverdue = ({call, request}: Watched): void => {
		const silence = hangSearch.describeSilence(request);
		if (silence !== undefined) {
			context.log.record('info', {
				kind: 'request-overdue', call: call.id, server: context.server, ageMs: Math.round(readAwakeMs() - request.sentAt), ...silence,
			});
		}
	};

	const recordAnswered = ({sentAt}: SentRequest, status: number): void => {
		applyLimit(recordAnswer(limit));
		if (reporting === 'reports' && status < 500) {
			serviceTimes.record(readAwakeMs() - sentAt);
		}
	};

	const describeGivenUp = ({call, request}: Watched): Omit<HeldRequest, 'heldAt'> => ({
		id: request.id, call: call.id, sentAt: readSteadyMs() - (readAwakeMs() - request.sentAt), deadlineAt: call.deadlineAt,
	});

	/** Records the end of a request. Returns whether its slot is held, or was released before. */
	const finish = (watched: Watched, result: ExchangeResult): boolean => {
		const {request, call} = watched;
		const isAnswered = result.type === 'answered';
		watchedById.delete(request.id);
		if (!isAnswered && watched.hang === undefined) {
			logOverdue(watched);
		}

		requests.finish(request, isAnswered);
		if (isAnswered) {
			recordAnswered(request, result.status);
			return watched.isSlotReleased;
		}

		const isHeld = mayHoldSlots() && mayStillRun(result) && watched.hang?.kind !== 'not-reported' && call.deadlineAt > readSteadyMs();
		if (isHeld) {
			held.hold(describeGivenUp(watched));
		}

		return isHeld || watched.isSlotReleased;
	};

	return {
		watch(call) {
			if (limit.isCareful && carefulTimer === undefined) {
				carefulTimer = setTimeout(endCarefulStart, maxCarefulMs);
			}

			const request = requests.send(readAwakeMs());
			const watched: Watched = {
				call, request, handleHang: undefined, hang: undefined, isSlotReleased: false, leftAt: undefined,
			};
			watchedById.set(request.id, watched);
			return {
				listenForHang(handle) {
					watched.handleHang = handle;
				},
				recordResponse(report, isExecuted) {
					const comparison = requests.recordResponse(request, report, readAwakeMs(), held.count());
					if (report !== undefined && comparison !== undefined) {
						applyReport(report, comparison);
					} else if (isExecuted) {
						recordMissingReport();
					}

					if (isExecuted) {
						endCarefulStart();
					}

					hangSearch.schedule(true);
				},
				leave() {
					if (!mayHoldSlots() || watched.hang !== undefined) {
						return undefined;
					}

					const waitMs = computeLateWaitMs({
						expected: requests.countExpected() - 1, held: held.count(), slotLimit, ageMs: readAwakeMs() - request.sentAt, serviceMs: context.getServiceMs(),
					});
					watched.leftAt = waitMs === undefined ? undefined : readSteadyMs();
					return waitMs;
				},
				finish: result => watched.leftAt !== undefined || finish(watched, result),
				finishLate(result) {
					if (finish(watched, result)) {
						return;
					}

					held.recordResponse({...describeGivenUp(watched), heldAt: watched.leftAt ?? readSteadyMs()});
					context.releaseSlot();
				},
			};
		},
		announceSlots(announcedSlots) {
			applyLimit({...limit, announcedSlots});
		},
		getCapacity: () => computeCapacity(limit),
		getSlotLimit: () => slotLimit,
		getLatestDeadline() {
			let latest = Number.NEGATIVE_INFINITY;
			for (const {call} of watchedById.values()) {
				latest = Math.max(latest, call.deadlineAt);
			}

			return latest;
		},
		dispose() {
			isDisposed = true;
			hangSearch.dispose();
			clearTimeout(carefulTimer);
			foreign.dispose();
			held.dispose();
		},
	};
}
