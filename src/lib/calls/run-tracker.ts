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
export type AdmittedRun = {readonly type: 'admitted'; readonly fingerprint: LazyFingerprint | undefined; readonly end: () => void};

/** @internal */
export type RunTracker = {
	/** Lets a request through, after a moment if it is on trial. */
	readonly admit: (fingerprint: LazyFingerprint | undefined) => Promise<AdmittedRun | Extract<RunAdmission, {readonly type: 'refused'}>>;
	/** Follows an answer to its end. */
	readonly watchResponse: (run: AdmittedRun, status: number, body: Readable) => void;
	/** Names a crash of the server as such, if it was one. */
	readonly checkForCrash: (run: AdmittedRun, failure: FailedAttempt) => Promise<FailedAttempt>;
};

/** A server on the same VM takes or refuses a connection in well under a millisecond. Milliseconds. */
const connectionProbeTimeoutMs = 100;

/** What is lost within this time was lost at one crash. Milliseconds: a server is not back sooner. */
const sameCrashWindowMs = 300;

/**
 * @param quarantine - Judges requests.
 * @param server - The server.
 * @param isClosing - Whether the server leaves: its end is no crash then.
 * @returns The watch over its runs.
 * @internal
 */
export function createRunTracker(quarantine: RunQuarantine, server: BackendServer, isClosing: () => boolean): RunTracker {
	let crashedAt = 0;

	/** Servers may start again under their id, so that a crash is told from the next one by its time. */
	const recordCrashTime = (): number => {
		const now = readNow();
		crashedAt = now - crashedAt > sameCrashWindowMs ? now : crashedAt;
		return crashedAt;
	};

	const crashDetector = createCrashDetector<LazyFingerprint>({
		hasEnded: async () => !isClosing() && isRefusingConnections(server.address, connectionProbeTimeoutMs),
		handleCrash(atWork) {
			quarantine.recordCrash({id: server.id, startedAt: recordCrashTime()}, atWork);
		},
	});

	return {
		async admit(fingerprint) {
			if (fingerprint === undefined) {
				return {type: 'admitted', fingerprint, end: () => undefined};
			}

			await quarantine.waitForTrial(fingerprint);
			const admission = quarantine.admitRun(fingerprint);
			return admission.type === 'refused' ? admission : {...admission, fingerprint};
		},
		watchResponse({fingerprint, end}, status, body) {
			body.once('close', end);
			if (fingerprint === undefined) {
				return;
			}

			// A failure says nothing for a request: the server may have given up before it came to what crashes it.
			body.once('end', () => {
				if (status < 500) {
					quarantine.recordResponse(fingerprint);
				}
			});
			body.once('error', () => {
				void crashDetector.recordLost(fingerprint);
			});
		},
		async checkForCrash({fingerprint, end}, failure) {
			end();
			if (fingerprint === undefined || failure.reason !== 'connection-lost') {
				return failure;
			}

			const isCrash = await crashDetector.recordLost(fingerprint);
			return isCrash && quarantine.check(fingerprint).type !== 'free' ? {...failure, reason: 'server-crashed'} : failure;
		},
	};
}
