/**
 * Which nodes of a failure domain watch the store for the others: the decision
 * part. No promise rests on it. Every node decides for itself by what it has
 * heard; where two see it differently there are more watches or fewer, and a
 * node that hears of no fresh one asks the store itself.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {type NodeDuties} from '../peers/peer-report.js';

/** A node of the own failure domain that was heard lately. @internal */
export type DomainNode = Omit<NodeDuties, 'storeEra'> & {
	readonly node: NodeId;
	/** Milliseconds since it said so. */
	readonly heardMsAgo: number;
	/** Milliseconds between its heartbeats. */
	readonly periodMs: number;
};

/** Nodes of a failure domain that watch the store at the most. With four, one of them is left when the store turns a third of the nodes away in 98 of 100 domains, and where the domain is no larger every node watches. */
const maxRelaysPerDomain = 4;

/** The same at the least: while one finds out that the store turns it away, the other one watches. */
const minRelaysPerDomain = 2;

/**
 * Nodes of the whole mesh that watch the store. Each change costs a call, and a whole configuration, for each of them, and what one domain
 * learns goes to the others. One of ten is left when the store turns half of the nodes away in 999 of 1,000 cases.
 */
const relaysPerMesh = 10;

const countRelays = (domains: number): number => Math.min(maxRelaysPerDomain, Math.max(minRelaysPerDomain, Math.ceil(relaysPerMesh / Math.max(1, domains))));

/** A watcher that has heard from the store within this time has the newest configuration, or is about to. Milliseconds: the longest time between two looks at the store and a heartbeat, so that it is noticed before a change has to be in force. */
const maxStoreAgeMs = 1700;

/** Milliseconds between two heartbeats that are part of that time; in a domain so large that they come less often, what they add is granted as well: else all nodes would ask the store between two of them. */
const usualHeartbeatPeriodMs = 400;

const hasStoreAccess = ({storeSeenMs}: DomainNode): boolean => storeSeenMs !== undefined;

const isFreshRelay = ({isFollowing, storeSeenMs, heardMsAgo, periodMs}: DomainNode): boolean =>
	isFollowing && storeSeenMs !== undefined && storeSeenMs + heardMsAgo <= maxStoreAgeMs + Math.max(0, periodMs - usualHeartbeatPeriodMs);

/** Large links first, since a whole configuration takes a quarter of a second over the smallest; then by name, which all see alike. */
function compareNodes(left: DomainNode, right: DomainNode): number {
	return right.linkMbps - left.linkMbps || (left.node < right.node ? -1 : 1);
}

/**
 * @param self - This node.
 * @param others - The other nodes of its failure domain that it hears. Of many, a few are looked at: nodes that go before this one, and one that watches.
 * @param domains - Failure domains of the mesh, this one included.
 * @returns Whether this node watches the store.
 * @internal
 */
export function isRelay(self: DomainNode, others: Iterable<DomainNode>, domains: number): boolean {
	const relays = countRelays(domains);
	// A node that the store turns away cannot help anybody now; the first ones go on trying, so that somebody notices at once when the store is back.
	const canReachStore = hasStoreAccess(self);
	let precedingCount = 0;
	let hasFreshRelay = false;
	for (const node of others) {
		precedingCount += (!canReachStore || hasStoreAccess(node)) && compareNodes(node, self) < 0 ? 1 : 0;
		hasFreshRelay ||= isFreshRelay(node);
		if (precedingCount >= relays && (hasFreshRelay || !canReachStore)) {
			return false;
		}
	}

	return precedingCount < relays || (canReachStore && !hasFreshRelay);
}
