/**
 * Quarantine and request fingerprints for tests.
 *
 * @module
 */
import {silentLog} from '../timeline/mesh-log.js';
import {createQuarantine, type Quarantine} from './quarantine.js';
import {createLazyFingerprint, type LazyFingerprint} from './lazy-fingerprint.js';

/**
 * @returns A quarantine that logs nothing and ignores all events.
 * @internal
 */
export const createSilentQuarantine = (): Quarantine => createQuarantine({
	log: silentLog, handleUrgentChange: () => undefined, handleCrash: () => undefined, handleQuarantined: () => undefined,
});

/**
 * @param target - Path and query of the request.
 * @param body - Its body.
 * @returns The fingerprint of a request.
 * @internal
 */
export const createSampleFingerprint = (target = '/logs/1', body?: Uint8Array): LazyFingerprint => createLazyFingerprint({
	method: 'GET', host: 'mesh.example', target, body,
});
