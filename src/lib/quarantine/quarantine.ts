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
import {createQuarantineLedger, type Judgement} from './ledger.js';
import {createRecentAnswers} from './recent-answers.js';
import {type RequestMark} from './request-mark.js';
import {computeCrashKey, type SuspectRecord} from './suspect-record.js';
import {createTrialWait} from './trial-wait.js';

/** @internal */
export type QuarantineContext = {
	readonly log: MeshLog;
	/** Told when the other nodes should hear of it at once. */
	readonly handleNews: () => void;
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
	readonly judge: (mark: RequestMark) => Judgement;
	/** Waits until a request that is on trial may be judged at the gate; yields nothing to wait for if it may be now, as nearly all may. */
	readonly settle: (mark: RequestMark) => Promise<void> | undefined;
	/** Judges a request that is about to be sent to the server, and lets one of each on trial through at a time. */
	readonly admitRun: (mark: RequestMark) => RunAdmission;
	/** The server beside this node crashed with these in work. */
	readonly noteCrash: (server: ServerLifetime, atWork: readonly RequestMark[]) => void;
	/** The server beside this node answered it, whatever the answer was. */
	readonly noteAnswered: (mark: RequestMark) => void;
	/** Takes in what another node, or the store, knows. */
	readonly take: (records: readonly SuspectRecord[], from: string) => void;
	/** What this node tells the others, a bounded part. */
	readonly describe: () => readonly SuspectRecord[];
	readonly listQuarantined: () => readonly SuspectRecord[];
	readonly countSuspects: () => number;
	/** Requests refused since the start. */
	readonly countRefused: () => number;
};

/** When a request of which another one is on trial may be asked for again. Milliseconds: most requests are answered in less. */
const trialRetryMs = 500;

const admitted: RunAdmission = {type: 'admitted', end: () => undefined};

/**
 * @param judgement - A judgement that refuses.
 * @returns The reason, for people.
 * @internal
 */
export function describeRefusal({fingerprint, crashes}: Extract<Judgement, {readonly type: 'refused'}>): string {
	return `${crashes} backend servers crashed while ${fingerprint} was in work, and none has answered it since`;
}

/**
 * @param context - Where events and news go.
 * @returns A quarantine in which nothing is suspected.
 * @internal
 */
export function createQuarantine({log, handleNews, handleCrash, handleQuarantined}: QuarantineContext): Quarantine {
	const ledger = createQuarantineLedger();
	const answers = createRecentAnswers();
	const trials = new Set<Fingerprint>();
	let refused = 0;

	const trialWait = createTrialWait({
		getSettleMs: fingerprint => ledger.getSettleMs(fingerprint, readSteadyMs()),
		handleRepeated(fingerprint) {
			if (ledger.noteRepeated(fingerprint, readSteadyMs())) {
				log.record('warn', {kind: 'request-repeated', fingerprint});
				handleNews();
			}
		},
	});

	/** Requests that nobody suspects cost no more than this look. */
	const isKnown = (mark: RequestMark): boolean => ledger.countRecords() > 0 && ledger.hasHead(mark.getHeadFingerprint());

	const judge = (mark: RequestMark): Judgement => {
		if (!isKnown(mark)) {
			return {type: 'free'};
		}

		const judgement = ledger.judge(mark.getFingerprint(), readSteadyMs());
		refused += judgement.type === 'refused' ? 1 : 0;
		return judgement;
	};

	const hasBeenAnswered = (mark: RequestMark, now: number): boolean => !mark.hasBody && answers.has(mark.getHead(), now);

	const tellSuspects = (fingerprints: readonly Fingerprint[], from: string, now: number): void => {
		for (const fingerprint of fingerprints) {
			const crashes = ledger.get(fingerprint, now)?.crashes.length ?? 0;
			// What was in work at one crash is told by the line of the crash.
			if (crashes > 1) {
				log.record('warn', {
					kind: 'request-suspected', fingerprint, crashes, from,
				});
			}
		}
	};

	const forgive = (fingerprint: Fingerprint, now: number): void => {
		const crashes = ledger.clear(fingerprint, now);
		if (crashes === 0) {
			return;
		}

		log.record('info', {kind: 'request-cleared', fingerprint, crashes});
		if (crashes > 1) {
			handleNews();
		}
	};

	/** Speaks for requests that this node saw answered a moment ago: the node that accuses them may not have. */
	const forgiveAnswered = (fingerprints: readonly Fingerprint[], now: number): void => {
		const accused = new Set(fingerprints);
		for (const head of answers.list(now)) {
			const fingerprint = joinFingerprint(computeHeadFingerprint(head), undefined);
			if (accused.has(fingerprint)) {
				forgive(fingerprint, now);
			}
		}
	};

	return {
		judge,
		settle: (mark): Promise<void> | undefined => isKnown(mark) ? trialWait.join(mark.getFingerprint()) : undefined,
		admitRun(mark) {
			const judgement = judge(mark);
			switch (judgement.type) {
				case 'free': {
					return admitted;
				}

				case 'refused': {
					return {type: 'refused', detail: describeRefusal(judgement), retryAfterMs: judgement.retryAfterMs};
				}

				case 'trial': {
					const {fingerprint} = judgement;
					if (trials.has(fingerprint)) {
						return {type: 'refused', detail: `${fingerprint}, which was in work when a server crashed, is in work here`, retryAfterMs: trialRetryMs};
					}

					trials.add(fingerprint);
					return {
						type: 'admitted',
						end() {
							trials.delete(fingerprint);
						},
					};
				}
			}
		},
		noteCrash(server, atWork) {
			const now = readSteadyMs();
			const accused = atWork.filter(mark => !hasBeenAnswered(mark, now)).map(mark => mark.getFingerprint());
			const crash = computeCrashKey(server);
			const fresh = ledger.accuse(accused, crash, now);
			if (fresh.length > 0) {
				tellSuspects(fresh, server.id, now);
				handleNews();
				handleCrash({crash, fingerprints: fresh});
				const quarantined = ledger.listQuarantined(now).filter(({fingerprint}) => fresh.includes(fingerprint));
				if (quarantined.length > 0) {
					handleQuarantined(quarantined);
				}
			}
		},
		noteAnswered(mark) {
			const now = readSteadyMs();
			if (!mark.hasBody) {
				answers.note(mark.getHead(), now);
			}

			if (isKnown(mark)) {
				forgive(mark.getFingerprint(), now);
			}
		},
		take(records, from) {
			const now = readSteadyMs();
			const changed = records.length === 0 ? [] : ledger.merge(records, now);
			if (changed.length > 0) {
				forgiveAnswered(changed, now);
				tellSuspects(changed, from, now);
			}
		},
		describe: () => ledger.countRecords() === 0 ? [] : ledger.listPart(readSteadyMs()),
		listQuarantined: () => ledger.listQuarantined(readSteadyMs()),
		countSuspects: ledger.countRecords,
		countRefused: () => refused,
	};
}
