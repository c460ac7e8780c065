/**
 * Keeps requests that crash backend servers away from them. A node suspects the requests
 * that were in flight when the server beside it crashed, clears the ones that the server answers,
 * and merges both with the records of the other nodes.
 *
 * A page that crashes every server and is requested repeatedly at any node crashes three servers. Without a quarantine it would crash all
 * of them, for as long as it is requested.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type CrashReport} from './crash-report.js';
import {computeHeadFingerprint, joinFingerprint, type Fingerprint} from './fingerprint.js';
import {createSuspectTable, type QuarantineDecision} from './suspect-table.js';
import {createRecentResponses} from './recent-responses.js';
import {type LazyFingerprint} from './lazy-fingerprint.js';
import {computeCrashKey, type SuspectRecord} from './suspect-record.js';
import {createTrialDelay} from './trial-delay.js';

/** @internal */
export type QuarantineContext = {
	readonly log: MeshLog;
	/** Called when the other nodes should receive a change immediately. */
	readonly handleUrgentChange: () => void;
	/** Called for each crash of the server beside this node that makes a request a suspect. */
	readonly handleCrash: (report: CrashReport) => void;
	/** Called with requests that are quarantined after a crash at this node. */
	readonly handleQuarantined: (records: readonly SuspectRecord[]) => void;
};

/** Whether a request may now be sent to the server beside this node. @internal */
export type RunAdmission =
	| {readonly type: 'admitted'; readonly end: () => void}
	| {readonly type: 'refused'; readonly detail: string; readonly retryAfterMs: number};

/** @internal */
export type Quarantine = {
	readonly check: (request: LazyFingerprint) => QuarantineDecision;
	/** Waits until a request on trial may be checked at the gate; returns `undefined` if it may be checked immediately, as nearly all requests may. */
	readonly waitForTrial: (request: LazyFingerprint) => Promise<void> | undefined;
	/** Checks a request before it is sent to the server, and admits only one trial per fingerprint at a time. */
	readonly admitRun: (request: LazyFingerprint) => RunAdmission;
	/** Records that the server beside this node crashed while these requests were in flight. */
	readonly recordCrash: (server: ServerLifetime, inFlight: readonly LazyFingerprint[]) => void;
	/** Records that the server beside this node answered a request. Do not call it for a status of 500 or above: the server may have failed before it reached the code that crashes it. */
	readonly recordResponse: (request: LazyFingerprint) => void;
	/** Merges records of another node or of the store; `from` names the source. */
	readonly merge: (records: readonly SuspectRecord[], from: string) => void;
	/** Returns the records for the next message to other nodes, a bounded batch. */
	readonly listBatch: () => readonly SuspectRecord[];
	readonly listQuarantined: () => readonly SuspectRecord[];
	readonly countSuspects: () => number;
	/** Returns the number of requests refused since the start. */
	readonly countRefused: () => number;
};

/** Retry delay for a request while the same one runs on trial. Most requests are answered in less time. */
const trialRetryAfterMs = 500;

const admitted: RunAdmission = {type: 'admitted', end: () => undefined};

/**
 * @param decision - A decision that refuses a request.
 * @returns A human-readable reason.
 * @internal
 */
export function describeRefusal({fingerprint, crashes}: Extract<QuarantineDecision, {readonly type: 'refused'}>): string {
	return `${crashes} backend servers crashed while request ${fingerprint} was in flight, and none has answered it since`;
}

/**
 * @param context - The log, and the handlers of events.
 * @returns A quarantine without suspects.
 * @internal
 */
export function createQuarantine({log, handleUrgentChange, handleCrash, handleQuarantined}: QuarantineContext): Quarantine {
	const suspects = createSuspectTable();
	const responses = createRecentResponses();
	const runningTrials = new Set<Fingerprint>();
	let refusedCount = 0;

	const trialDelay = createTrialDelay({
		getDelayMs: fingerprint => suspects.getTrialDelayMs(fingerprint, readSteadyMs()),
		handleRepeat(fingerprint) {
			if (suspects.recordRepeat(fingerprint, readSteadyMs())) {
				log.record('warn', {kind: 'request-repeated', fingerprint});
				handleUrgentChange();
			}
		},
	});

	/** Returns whether a request may be a suspect, by its head. Requests that are not suspected cost only this check. */
	const mayBeSuspect = (request: LazyFingerprint): boolean => suspects.countRecords() > 0 && suspects.hasHead(request.getHeadFingerprint());

	const check = (request: LazyFingerprint): QuarantineDecision => {
		if (!mayBeSuspect(request)) {
			return {type: 'free'};
		}

		const decision = suspects.check(request.getFingerprint(), readSteadyMs());
		refusedCount += decision.type === 'refused' ? 1 : 0;
		return decision;
	};

	const hasBeenAnswered = (request: LazyFingerprint, now: number): boolean => !request.hasBody && responses.has(request.getHead(), now);

	const logSuspects = (fingerprints: readonly Fingerprint[], from: string, now: number): void => {
		for (const fingerprint of fingerprints) {
			const crashes = suspects.get(fingerprint, now)?.crashes.length ?? 0;
			// The log line of a crash already names the requests that were in flight there.
			if (crashes > 1) {
				log.record('warn', {
					kind: 'request-suspected', fingerprint, crashes, from,
				});
			}
		}
	};

	const clearRequest = (fingerprint: Fingerprint, now: number): void => {
		const crashes = suspects.clear(fingerprint, now);
		if (crashes === 0) {
			return;
		}

		log.record('info', {kind: 'request-cleared', fingerprint, crashes});
		if (crashes > 1) {
			handleUrgentChange();
		}
	};

	/** Clears suspects that were recently answered at this node: the node that suspects them may not have seen a response. */
	const clearAnswered = (fingerprints: readonly Fingerprint[], now: number): void => {
		const suspected = new Set(fingerprints);
		for (const head of responses.list(now)) {
			const fingerprint = joinFingerprint(computeHeadFingerprint(head), undefined);
			if (suspected.has(fingerprint)) {
				clearRequest(fingerprint, now);
			}
		}
	};

	return {
		check,
		waitForTrial: (request): Promise<void> | undefined => mayBeSuspect(request) ? trialDelay.wait(request.getFingerprint()) : undefined,
		admitRun(request) {
			const decision = check(request);
			switch (decision.type) {
				case 'free': {
					return admitted;
				}

				case 'refused': {
					return {type: 'refused', detail: describeRefusal(decision), retryAfterMs: decision.retryAfterMs};
				}

				case 'trial': {
					const {fingerprint} = decision;
					if (runningTrials.has(fingerprint)) {
						return {type: 'refused', detail: `request ${fingerprint}, which was in flight when a backend server crashed, is already running here`, retryAfterMs: trialRetryAfterMs};
					}

					runningTrials.add(fingerprint);
					return {
						type: 'admitted',
						end() {
							runningTrials.delete(fingerprint);
						},
					};
				}
			}
		},
		recordCrash(server, inFlight) {
			const now = readSteadyMs();
			const suspected = inFlight.filter(request => !hasBeenAnswered(request, now)).map(request => request.getFingerprint());
			const crash = computeCrashKey(server);
			const newSuspects = suspects.recordCrash(suspected, crash, now);
			if (newSuspects.length > 0) {
				logSuspects(newSuspects, server.id, now);
				handleUrgentChange();
				handleCrash({crash, fingerprints: newSuspects});
				const quarantined = suspects.listQuarantined(now).filter(({fingerprint}) => newSuspects.includes(fingerprint));
				if (quarantined.length > 0) {
					handleQuarantined(quarantined);
				}
			}
		},
		recordResponse(request) {
			const now = readSteadyMs();
			if (!request.hasBody) {
				responses.record(request.getHead(), now);
			}

			if (mayBeSuspect(request)) {
				clearRequest(request.getFingerprint(), now);
			}
		},
		merge(records, from) {
			const now = readSteadyMs();
			const changed = records.length === 0 ? [] : suspects.merge(records, now);
			if (changed.length > 0) {
				clearAnswered(changed, now);
				logSuspects(changed, from, now);
			}
		},
		listBatch: () => suspects.countRecords() === 0 ? [] : suspects.listBatch(readSteadyMs()),
		listQuarantined: () => suspects.listQuarantined(readSteadyMs()),
		countSuspects: suspects.countRecords,
		countRefused: () => refusedCount,
	};
}
