/**
 * Tracks the requests in flight at a backend server beside this node for the
 * quarantine: which of them may not be executed now, which were in flight when
 * the server crashed, and which the server answered.
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

/** An admitted request; `end` records that it is no longer in flight. @internal */
export type AdmittedRun = {readonly type: 'admitted'; readonly fingerprint: LazyFingerprint | undefined; readonly end: () => void};

/** @internal */
export type RunTracker = {
	/** Admits or refuses a request, after a delay if it is on trial. */
	readonly admit: (fingerprint: LazyFingerprint | undefined) => Promise<AdmittedRun | Extract<RunAdmission, {readonly type: 'refused'}>>;
	/** Observes a response until it ends, and records the outcome. */
	readonly watchResponse: (run: AdmittedRun, status: number, body: Readable) => void;
	/** Changes the reason of a failure to `server-crashed` if the server crashed and the quarantine suspects the request. */
	readonly checkForCrash: (run: AdmittedRun, failure: FailedAttempt) => Promise<FailedAttempt>;
};

/** A server on the same VM accepts or refuses a connection in well under a millisecond. */
const connectionProbeTimeoutMs = 100;

/** Requests that are lost within this time count as lost in the same crash, because a server takes longer than this to restart. */
const sameCrashWindowMs = 300;

/**
 * Creates the tracker for one backend server.
 *
 * @param quarantine - Decides whether a request may be sent, and records how it ended.
 * @param server - The server.
 * @param isClosing - Returns whether the server is being removed. If so, the end of its process does not count as a crash.
 * @returns The tracker.
 * @internal
 */
export function createRunTracker(quarantine: RunQuarantine, server: BackendServer, isClosing: () => boolean): RunTracker {
	let crashedAt = 0;

	/** Returns the time that identifies the current crash: a server may restart under the same id, so the id does not distinguish its crashes. */
	const recordCrashTime = (): number => {
		const now = readNow();
		crashedAt = now - crashedAt > sameCrashWindowMs ? now : crashedAt;
		return crashedAt;
	};

	const crashDetector = createCrashDetector<LazyFingerprint>({
		hasEnded: async () => !isClosing() && isRefusingConnections(server.address, connectionProbeTimeoutMs),
		handleCrash(inFlight) {
			quarantine.recordCrash({id: server.id, startedAt: recordCrashTime()}, inFlight);
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

			// A status of 500 or above does not clear a request of suspicion: the server may have failed before it reached the code that crashes.
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
