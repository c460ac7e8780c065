/**
 * A quarantine and requests for tests.
 *
 * @module
 */
import {silentLog} from '../timeline/mesh-log.js';
import {createQuarantine, type Quarantine} from './quarantine.js';
import {createRequestMark, type RequestMark} from './request-mark.js';

/**
 * @returns A quarantine that tells nobody.
 * @internal
 */
export const createQuietQuarantine = (): Quarantine => createQuarantine({
	log: silentLog, handleNews: () => undefined, handleCrash: () => undefined, handleQuarantined: () => undefined,
});

/**
 * @param target - What it asks for.
 * @param body - Its body.
 * @returns The mark of a request.
 * @internal
 */
export const createSampleMark = (target = '/logs/1', body?: Uint8Array): RequestMark => createRequestMark({
	method: 'GET', host: 'mesh.example', target, body,
});
