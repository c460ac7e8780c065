/**
 * Counts the nodes that may hold a part of the quotas. A count that is too small would
 * hand out more than the quotas, so nodes that are silent are counted for long, and a
 * process that has just started relies on nothing until others, or the store, have told
 * it how many nodes there are.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';

/** A node as the membership table has it. @internal */
export type QuotaPeer = {
	readonly node: NodeId;
	/** Steady milliseconds. */
	readonly heardAt: number;
	readonly isLeaving: boolean;
};

/** @internal */
export type QuotaNodes = {
	/** Takes over what the membership table has, which forgets silent nodes sooner. */
	readonly updatePeers: (peers: Iterable<QuotaPeer>, now: number) => void;
	/** Records how many nodes another node knows of itself. */
	readonly noteKnown: (sender: NodeId, known: number, now: number) => void;
	/** Records how many nodes the store lists, with this one. */
	readonly noteListed: (count: number, now: number) => void;
	/** Returns the number of nodes that may hold a part. */
	readonly count: (now: number) => number;
	/** Returns whether this node knows enough of the mesh to lend its parts and to accept loans. */
	readonly isSettled: (now: number) => boolean;
	/** Returns the number of nodes that this node knows of itself, for others to rely on; 0 while it may know too few. */
	readonly countKnown: (now: number) => number;
	/** Lists the known nodes, with this one. */
	readonly list: () => readonly NodeId[];
};

/**
 * A node that was not heard for this long holds no part. A node on the other side of a network partition serves its callers
 * by its own part, and partitions end within an hour; a VM that is gone for good costs its part for that time, unless it has left.
 */
const rememberMs = 3_600_000;

/** A node that has announced its shutdown is gone after this silence: longer than a shutdown takes. */
const leftMs = 15_000;

/** How long the number of known nodes must not have grown before a new process relies on the store's list. Nodes that start together register and hear each other within it. */
const quietMs = 1000;

/** How long the number of nodes that the store listed counts: until this process has heard all of them that can be reached. */
const listedMs = 60_000;

/** How long the number that another node told counts: until this process has heard the others, or the sender tells a new number. */
const toldMs = 60_000;

/** Of each other node, what it told last. */
type Told = {readonly known: number; readonly at: number};

/**
 * @param self - This node.
 * @returns A count that knows only this node.
 * @internal
 */
export function createQuotaNodes(self: NodeId): QuotaNodes {
	const heard = new Map<NodeId, QuotaPeer>();
	const told = new Map<NodeId, Told>();
	let listed = {count: 0, at: Number.NEGATIVE_INFINITY};
	let grownAt = Number.NEGATIVE_INFINITY;
	let hasList = false;
	let hasEvidence = false;
	let toldCount = 0;
	let ids: readonly NodeId[] | undefined;

	const updateToldCount = (): void => {
		toldCount = 0;
		for (const {known} of told.values()) {
			toldCount = Math.max(toldCount, known);
		}
	};

	const dropGone = (now: number): void => {
		for (const [node, {heardAt, isLeaving}] of heard) {
			if (now - heardAt > (isLeaving ? leftMs : rememberMs)) {
				heard.delete(node);
				told.delete(node);
				ids = undefined;
			}
		}

		for (const [node, {at}] of told) {
			if (now - at > toldMs) {
				told.delete(node);
			}
		}

		updateToldCount();
	};

	const isSettled = (now: number): boolean => {
		hasEvidence ||= hasList && now - grownAt > quietMs;
		return hasEvidence;
	};

	const countListed = (now: number): number => now - listed.at > listedMs ? 0 : listed.count;

	return {
		updatePeers(peers, now) {
			for (const peer of peers) {
				if (!heard.has(peer.node)) {
					grownAt = now;
					ids = undefined;
				}

				heard.set(peer.node, {node: peer.node, heardAt: peer.heardAt, isLeaving: peer.isLeaving});
			}

			dropGone(now);
		},
		noteKnown(sender, known, now) {
			if (known === 0 || sender === self) {
				return;
			}

			// The sender is settled, so its count suffices; a new process needs no other evidence.
			hasEvidence = true;
			const before = told.get(sender)?.known ?? 0;
			told.set(sender, {known, at: now});
			if (known > toldCount) {
				toldCount = known;
			} else if (known < before) {
				updateToldCount();
			}
		},
		noteListed(count, now) {
			hasList = true;
			if (count >= listed.count || now - listed.at > listedMs) {
				listed = {count, at: now};
			}

			grownAt = Number.isFinite(grownAt) ? grownAt : now;
		},
		count: now => Math.max(heard.size + 1, toldCount, countListed(now)),
		isSettled,
		countKnown(now) {
			const known = Math.max(heard.size + 1, countListed(now));
			return isSettled(now) && known >= toldCount ? known : 0;
		},
		list() {
			ids ??= [self, ...heard.keys()];
			return ids;
		},
	};
}
