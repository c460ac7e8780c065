/**
 * Chooses the nodes that are notified immediately that the backend server beside a
 * node is ready.
 *
 * Each datagram wakes a process, so the cost of notifying every node grows with
 * the mesh, and in a mesh of hundreds of nodes, nodes start all day. If a
 * server takes no more requests, all nodes are notified, because a node without
 * this notification sends requests that are refused. If a server is ready, the
 * notification may arrive late: until then, the server only gets no requests.
 *
 * @module
 */
import {type Peer, type PeerTable} from './peer-table.js';

/** The maximum number of nodes that are notified immediately. In a mesh of up to 80 nodes, all nodes are. */
const maximumTargetCount = 80;

/** The maximum number of notified nodes in the own failure domain, which send their requests to this server first. The other notified nodes are in other failure domains, so that these learn of the server too. */
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
