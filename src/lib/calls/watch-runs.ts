/**
 * Watches what the backend server beside this node is at work on for the
 * quarantine: what may not run now, what was in work when the server ended, and
 * what it answered.
 *
 * @module
 */
import {type Readable} from 'node:stream';
import {readNow} from '../common/clock.js';
import {isRefusingConnections} from '../forwarding/refused-connection.js';
import {type BackendServer} from '../directory/node-record.js';
import {createCrashDetector} from '../quarantine/crash-detector.js';
import {type Quarantine, type RunAdmission} from '../quarantine/quarantine.js';
import {type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {type FailedAttempt} from './attempt.js';

/** @internal */
export type RunQuarantine = Pick<Quarantine, 'check' | 'waitForTrial' | 'admitRun' | 'recordCrash' | 'recordResponse'>;

/** A run that was let through. @internal */
export type AdmittedRun = {readonly type: 'admitted'; readonly mark: LazyFingerprint | undefined; readonly end: () => void};

/** @internal */
export type RunWatch = {
	/** Lets a request through, after a moment if it is on trial. */
	readonly admit: (mark: LazyFingerprint | undefined) => Promise<AdmittedRun | Extract<RunAdmission, {readonly type: 'refused'}>>;
	/** Follows an answer to its end. */
	readonly watchAnswer: (run: AdmittedRun, status: number, body: Readable) => void;
	/** Names a crash of the server as such, if it was one. */
	readonly judgeLost: (run: AdmittedRun, failure: FailedAttempt) => Promise<FailedAttempt>;
};

/** A server on the same VM takes or refuses a connection in well under a millisecond. Milliseconds. */
const askMs = 100;

/** What is lost within this time was lost at one crash. Milliseconds: a server is not back sooner. */
const sameCrashMs = 300;

/**
 * @param quarantine - Judges requests.
 * @param server - The server.
 * @param isClosing - Whether the server leaves: its end is no crash then.
 * @returns The watch over its runs.
 * @internal
 */
export function watchRuns(quarantine: RunQuarantine, server: BackendServer, isClosing: () => boolean): RunWatch {
	let crashedAt = 0;

	/** Servers may start again under their id, so that a crash is told from the next one by its time. */
	const noteCrashTime = (): number => {
		const now = readNow();
		crashedAt = now - crashedAt > sameCrashMs ? now : crashedAt;
		return crashedAt;
	};

	const crashWatch = createCrashDetector<LazyFingerprint>({
		hasEnded: async () => !isClosing() && isRefusingConnections(server.address, askMs),
		handleCrash(atWork) {
			quarantine.recordCrash({id: server.id, startedAt: noteCrashTime()}, atWork);
		},
	});

	return {
		async admit(mark) {
			if (mark === undefined) {
				return {type: 'admitted', mark, end: () => undefined};
			}

			await quarantine.waitForTrial(mark);
			const admission = quarantine.admitRun(mark);
			return admission.type === 'refused' ? admission : {...admission, mark};
		},
		watchAnswer({mark, end}, status, body) {
			body.once('close', end);
			if (mark === undefined) {
				return;
			}

			// A failure says nothing for a request: the server may have given up before it came to what crashes it.
			body.once('end', () => {
				if (status < 500) {
					quarantine.recordResponse(mark);
				}
			});
			body.once('error', () => {
				void crashWatch.recordLost(mark);
			});
		},
		async judgeLost({mark, end}, failure) {
			end();
			if (mark === undefined || failure.reason !== 'connection-lost') {
				return failure;
			}

			const isCrash = await crashWatch.recordLost(mark);
			return isCrash && quarantine.check(mark).type !== 'free' ? {...failure, reason: 'server-crashed'} : failure;
		},
	};
}
