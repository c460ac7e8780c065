/**
 * Chooses the nodes that are notified immediately that the backend server beside a
 * node is ready.
 *
 * Each datagram wakes a process, so in a mesh of hundreds of nodes, in which
 * nodes start all day, notifying every node would cost more the larger the mesh
 * is. That a server takes no more requests is sent to all nodes, because a node
 * that misses it sends requests that are refused. That a server is ready may
 * arrive late: until then, the server is only not used yet.
 *
 * @module
 */
import {type Peer, type PeerTable} from './peer-table.js';

/** The maximum number of nodes that are notified immediately. In a mesh of up to 80 nodes, all nodes are. */
const maximumTargetCount = 80;

/** The maximum number of them in the own failure domain, whose requests go to this server first. The rest are in other failure domains, so that these are notified too. */
const maximumOwnDomainCount = 60;

/** Picks `count` consecutive items from a random position of a list, in time that does not grow with the list. */
function pickRandomRange(peers: readonly Peer[], count: number, random: () => number): readonly Peer[] {
	if (peers.length <= count) {
		return peers;
	}

	const first = Math.floor(random() * peers.length);
	return Array.from({length: count}, (_, offset) => peers[(first + offset) % peers.length]!);
}

/**
 * Chooses the nodes to notify immediately. The other nodes learn of the change from their next heartbeat.
 *
 * @param table - The other nodes.
 * @param random - Returns a random number from 0 to 1, excluding 1.
 * @returns The nodes to notify.
 * @internal
 */
export function chooseAnnouncementTargets(table: Pick<PeerTable, 'listOwnDomain' | 'listOtherDomains'>, random: () => number): readonly Peer[] {
	const ownDomain = pickRandomRange(table.listOwnDomain(), maximumOwnDomainCount, random);
	return [...ownDomain, ...pickRandomRange(table.listOtherDomains(), maximumTargetCount - ownDomain.length, random)];
}
