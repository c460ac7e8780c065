/**
 * Keeps requests that crash backend servers away from them. A node accuses what
 * was in work when the server beside it crashed, clears what the server answers,
 * and joins both with what the other nodes know.
 *
 * What it buys: a page that crashes whatever runs it, and comes again and again at any node, ends three servers and not all of them for as long as it comes.
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
	/** Told when the other nodes should hear of it at once. */
	readonly handleUrgentChange: () => void;
	/** Told of each crash of the server beside this node that accuses a request. */
	readonly handleCrash: (report: CrashReport) => void;
	/** Told of requests that are quarantined because of what this node saw. */
	readonly handleQuarantined: (records: readonly SuspectRecord[]) => void;
};

/** Whether a request may be sent to the server beside this node now. @internal */
export type RunAdmission =
	| {readonly type: 'admitted'; readonly end: () => void}
	| {readonly type: 'refused'; readonly detail: string; readonly retryAfterMs: number};

/** @internal */
export type Quarantine = {
	readonly check: (request: LazyFingerprint) => QuarantineDecision;
	/** Waits until a request that is on trial may be judged at the gate; yields nothing to wait for if it may be now, as nearly all may. */
	readonly waitForTrial: (request: LazyFingerprint) => Promise<void> | undefined;
	/** Judges a request that is about to be sent to the server, and lets one of each on trial through at a time. */
	readonly admitRun: (request: LazyFingerprint) => RunAdmission;
	/** The server beside this node crashed with these in work. */
	readonly recordCrash: (server: ServerLifetime, inFlight: readonly LazyFingerprint[]) => void;
	/** The server beside this node answered it, whatever the answer was. */
	readonly recordResponse: (request: LazyFingerprint) => void;
	/** Takes in what another node, or the store, knows. */
	readonly merge: (records: readonly SuspectRecord[], from: string) => void;
	/** What this node tells the others, a bounded part. */
	readonly listBatch: () => readonly SuspectRecord[];
	readonly listQuarantined: () => readonly SuspectRecord[];
	readonly countSuspects: () => number;
	/** Requests refused since the start. */
	readonly countRefused: () => number;
};

/** When a request of which another one is on trial may be asked for again. Milliseconds: most requests are answered in less. */
const trialRetryAfterMs = 500;

const admitted: RunAdmission = {type: 'admitted', end: () => undefined};

/**
 * @param decision - A decision that refuses.
 * @returns The reason, for people.
 * @internal
 */
export function describeRefusal({fingerprint, crashes}: Extract<QuarantineDecision, {readonly type: 'refused'}>): string {
	return `${crashes} backend servers crashed while ${fingerprint} was in work, and none has answered it since`;
}

/**
 * @param context - Where events and news go.
 * @returns A quarantine in which nothing is suspected.
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

	/** Requests that nobody suspects cost no more than this look. */
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
			// What was in work at one crash is told by the line of the crash.
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

	/** Speaks for requests that this node saw answered a moment ago: the node that accuses them may not have. */
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
						return {type: 'refused', detail: `${fingerprint}, which was in work when a server crashed, is in work here`, retryAfterMs: trialRetryAfterMs};
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
