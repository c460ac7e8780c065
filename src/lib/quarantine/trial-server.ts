/**
 * Chooses the only server to which a request on trial may be sent.
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
 * Chooses the server with the highest digest of request and server (rendezvous hashing), so that nodes that know the same servers choose the
 * same one without coordination. If they know different servers, the request may run at two of them.
 *
 * @param fingerprint - Fingerprint of the request.
 * @param servers - Servers that could receive it.
 * @returns A list of the chosen server; empty if there are no servers.
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
