/**
 * Selects the relays of a failure domain, the nodes that watch the store for
 * the others. Each node decides for itself by the heartbeats that it has
 * received, without I/O. Correctness does not depend on agreement: if nodes
 * disagree, there are more or fewer watches, and a node without a fresh relay
 * becomes one itself.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {type NodeDuties} from '../peers/peer-report.js';

/** A node of the same failure domain whose heartbeats arrive. @internal */
export type DomainNode = Omit<NodeDuties, 'storeEra'> & {
	readonly node: NodeId;
	/** Milliseconds since its last heartbeat. */
	readonly heardMsAgo: number;
	/** Milliseconds between its heartbeats. */
	readonly periodMs: number;
};

/**
 * Maximum number of relays per failure domain. With four, at least one still reaches the store in 98 of 100 failure domains when the store rejects a third of the
 * nodes. In a failure domain of up to four nodes, all may be relays.
 */
const maxRelaysPerDomain = 4;

/** Minimum number of relays per failure domain: while one relay detects that the store rejects it, the other still watches. */
const minRelaysPerDomain = 2;

/**
 * Target number of relays in the mesh. Each change costs the store one call and one whole configuration per relay, and failure domains pass changes on to each other.
 * With ten, at least one still reaches the store in 999 of 1,000 cases when the store rejects half of the nodes.
 */
const relaysPerMesh = 10;

const countRelays = (domains: number): number => Math.min(maxRelaysPerDomain, Math.max(minRelaysPerDomain, Math.ceil(relaysPerMesh / Math.max(1, domains))));

/**
 * Maximum age of a relay's last answer from the store: the longest interval between two checks of the store, plus a heartbeat period, so that a relay that has lost the
 * store is detected before the deadline for applying a change. A relay within this age has the newest configuration, or is about to get it.
 */
const maxStoreAgeMs = 1700;

/**
 * Heartbeat period included in that age. In a failure domain so large that its heartbeats are less frequent, the difference is added to the age: otherwise all nodes
 * would call the store between two heartbeats.
 */
const usualHeartbeatPeriodMs = 400;

const hasStoreAccess = ({storeSeenMs}: DomainNode): boolean => storeSeenMs !== undefined;

const isFreshRelay = ({isFollowing, storeSeenMs, heardMsAgo, periodMs}: DomainNode): boolean =>
	isFollowing && storeSeenMs !== undefined && storeSeenMs + heardMsAgo <= maxStoreAgeMs + Math.max(0, periodMs - usualHeartbeatPeriodMs);

/** Orders nodes by link bandwidth, the highest first, since a whole configuration takes a quarter of a second over the slowest links; then by name, so that all nodes use the same order. */
function compareNodes(left: DomainNode, right: DomainNode): number {
	return right.linkMbps - left.linkMbps || (left.node < right.node ? -1 : 1);
}

/**
 * Decides whether a node is a relay.
 *
 * @param self - This node.
 * @param others - The other nodes of its failure domain whose heartbeats arrive. Iteration stops once the result is certain, so only a few of many nodes are read.
 * @param domains - Number of failure domains of the mesh, this one included.
 * @returns Whether this node should watch the store.
 * @internal
 */
export function isRelay(self: DomainNode, others: Iterable<DomainNode>, domains: number): boolean {
	const relays = countRelays(domains);
	// A node without access to the store cannot serve as a relay. The first nodes in the order keep trying, so that the return of the store is detected immediately.
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
