/**
 * Watches one lifetime of the backend server for a crash, and determines which requests
 * were in flight at that time: the ones whose connections were lost, and the ones that
 * were abandoned a short time before.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type Address} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {createCrashDetector} from '../quarantine/crash-detector.js';
import {type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type CallScope} from './call-scope.js';
import {isRefusingConnections} from './refused-connection.js';

/** A request that was sent to the server. @internal */
export type SentCall = {readonly id: string; readonly fingerprint: LazyFingerprint};

/** @internal */
export type CrashWatchContext = {
	readonly lifetime: ServerLifetime;
	readonly address: Address;
	readonly log: MeshLog;
	readonly quarantine: Pick<Quarantine, 'recordCrash'>;
	/** Called when the server has crashed. */
	readonly handleUnreachable: (lifetime: ServerLifetime, reason: string) => void;
	/** Whether the end of the server would not be a crash, because the server, its node or its session ends. */
	readonly isEnding: () => boolean;
};

/** @internal */
export type CrashWatch = {
	/** Records a request whose connection was lost; resolves with whether the server has crashed. */
	readonly recordLost: (call: SentCall) => Promise<boolean>;
	/** Records a sent request that was abandoned without a response. The server may still execute it until the end of its scope. */
	readonly recordAbandoned: (call: SentCall & {readonly scope: Pick<CallScope, 'deadlineAt'>}) => void;
	/** Reports abandoned requests to the crash detector, because they may be the only requests that were running when the server ended. */
	readonly checkAbandoned: () => void;
	/** Records that another lifetime has replaced the server without a leave. */
	readonly recordCrash: () => void;
};

/** Timeout of the connection attempt that checks for a crash. A server on the same VM accepts or refuses a connection in well under a millisecond. The failure responses that wait for the check are delayed by at most this time. */
const crashProbeTimeoutMs = 100;

/** Maximum number of running requests that the log lists when a server crashes: as many as run at the users' largest server. */
const maxLoggedSuspectCount = 20;

/** A sent request that was abandoned without a response. Until `expiresAt` (steady milliseconds) the server may still execute it. */
type AbandonedCall = SentCall & {readonly expiresAt: number};

/** Maximum time for which an abandoned request is a crash suspect: several times the duration of most requests. */
const abandonedCallTtlMs = 5000;

/** Maximum number of remembered abandoned requests: several times the number of requests that run at the users' largest servers. */
const maxAbandonedCallCount = 64;

/**
 * Creates the watch of a server that has not crashed.
 *
 * @param context - The server and the dependencies of the watch.
 * @returns The watch.
 * @internal
 */
export function createCrashWatch({lifetime, address, log, quarantine, handleUnreachable, isEnding}: CrashWatchContext): CrashWatch {
	let abandonedCalls: readonly AbandonedCall[] = [];
	let hasCrashed = false;

	/** Removes all abandoned calls and returns the ones that the server may still execute, since one of them may have crashed it. */
	const removeAbandonedCalls = (): readonly SentCall[] => {
		const now = readSteadyMs();
		const current = abandonedCalls.filter(({expiresAt}) => expiresAt > now);
		abandonedCalls = [];
		return current;
	};

	const handleCrash = (lost: readonly SentCall[]): void => {
		const inFlight = [...lost, ...removeAbandonedCalls()];
		const logged = inFlight.slice(0, maxLoggedSuspectCount);
		log.record('warn', {
			kind: 'server-crashed', server: lifetime.id, atWork: inFlight.length,
			suspects: logged.map(({fingerprint}) => fingerprint.getFingerprint()), calls: logged.map(({id}) => id),
		});
		quarantine.recordCrash(lifetime, inFlight.map(({fingerprint}) => fingerprint));
		handleUnreachable(lifetime, 'backend server crashed');
	};

	const crashDetector = createCrashDetector<SentCall>({
		hasEnded: async () => hasCrashed || (!isEnding() && isRefusingConnections(address, crashProbeTimeoutMs)),
		handleCrash,
	});

	const checkAbandoned = (): void => {
		for (const call of removeAbandonedCalls()) {
			void crashDetector.recordLost(call);
		}
	};

	return {
		recordLost: crashDetector.recordLost,
		recordAbandoned({id, fingerprint, scope}) {
			const expiresAt = Math.min(scope.deadlineAt, readSteadyMs() + abandonedCallTtlMs);
			abandonedCalls = [...abandonedCalls, {id, fingerprint, expiresAt}].slice(-maxAbandonedCallCount);
		},
		checkAbandoned,
		recordCrash() {
			hasCrashed = true;
			crashDetector.recordReplaced();
			checkAbandoned();
		},
	};
}
