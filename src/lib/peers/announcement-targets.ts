/**
 * Who hears at once that the backend server beside a node is ready: the
 * decision part.
 *
 * The load that it answers: a mesh of hundreds of nodes in which nodes start all
 * day. Each datagram wakes a process, so one word to everybody costs the mesh
 * more the larger it is. News that a server takes no work any more go to all:
 * whoever missed them would lose a refusal. News that it does may be late, at
 * the cost of a server that is not used yet.
 *
 * @module
 */
import {type Peer, type PeerTable} from './peer-table.js';

/** Nodes that hear it at once, at the most. The users' meshes of up to 80 nodes are told whole, as before. */
const maximumTargetCount = 80;

/** Of these, nodes of the own failure domain at the most: their requests come here first. The rest are of other domains, so that word is everywhere. */
const maximumOwnDomainCount = 60;

/** Draws some of a list, each at most once, in time that does not grow with the list. */
function pickRandomRange(peers: readonly Peer[], count: number, random: () => number): readonly Peer[] {
	if (peers.length <= count) {
		return peers;
	}

	const first = Math.floor(random() * peers.length);
	return Array.from({length: count}, (_, offset) => peers[(first + offset) % peers.length]!);
}

/**
 * @param table - The other nodes.
 * @param random - Draws a number from 0 to 1.
 * @returns Whom to tell at once; the others hear it with their next heartbeat.
 * @internal
 */
export function chooseAnnouncementTargets(table: Pick<PeerTable, 'listOwnDomain' | 'listOtherDomains'>, random: () => number): readonly Peer[] {
	const ownDomain = pickRandomRange(table.listOwnDomain(), maximumOwnDomainCount, random);
	return [...ownDomain, ...pickRandomRange(table.listOtherDomains(), maximumTargetCount - ownDomain.length, random)];
}
