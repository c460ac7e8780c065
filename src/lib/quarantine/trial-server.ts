/**
 * Chooses the one server at which a request that may crash servers runs.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {type Fingerprint} from './fingerprint.js';

function computeWeight(fingerprint: Fingerprint, lifetime: LifetimeKey): number {
	return createHash('sha256').update(`${fingerprint} ${lifetime}`).digest().readUInt32BE();
}

/**
 * Chooses by the greatest digest of request and server (rendezvous hashing), so that nodes that know the same servers choose the same one
 * without a word. Where they differ, the request may be in work at two.
 *
 * @param fingerprint - The request.
 * @param servers - Servers that could take it.
 * @returns The one that is to; none if there are none.
 * @internal
 */
export function chooseTrialServer<Server extends {readonly lifetime: LifetimeKey}>(fingerprint: Fingerprint, servers: readonly Server[]): readonly Server[] {
	let chosen: Server | undefined;
	let highestWeight = -1;
	for (const server of servers) {
		const weight = computeWeight(fingerprint, server.lifetime);
		if (weight > highestWeight) {
			chosen = server;
			highestWeight = weight;
		}
	}

	return chosen === undefined ? [] : [chosen];
}
