/**
 * Divides the memory and the descriptors of the machine among what a process holds for
 * its clients, so that all of it together fits whatever the clients send.
 *
 * @module
 */
import {getHeapStatistics} from 'node:v8';

/** What a process may use of its machine. @public */
export type MachineLimits = {
	/** Memory of the process, in megabytes. */
	readonly memoryMb: number;
	/** Open descriptors. */
	readonly maxFds: number;
};

/** Bounds on what a process holds for its clients. @internal */
export type HeldLimits = {
	/** Bytes of bodies and answers, outside the heap. */
	readonly bufferBytes: number;
	/** The same if nearly all of it is held for one request: a single body with its answer may be this long. */
	readonly loneBufferBytes: number;
	/** Bytes of requests, as objects on the heap. */
	readonly requestBytes: number;
	/** Connections of callers. */
	readonly callerConnections: number;
	/** Connections of other nodes. */
	readonly peerConnections: number;
	/** Connections at each of the other addresses: readiness, metrics, announcements, operators. */
	readonly operatorConnections: number;
};

/** The limits of the users' smallest machines, for settings that name none. @public */
export const defaultMachineLimits: MachineLimits = {memoryMb: 350, maxFds: 4100};

const megabyte = 1_000_000;

/** Memory of a process without load, apart from its heap. */
const processBytes = 50_000_000;

/** The heap is not taken to be larger than this share of the memory. Without a flag, Node.js allows a heap beyond the machine. */
const maxHeapShare = 0.45;

/** What is held takes up to three times its bytes: parts, the body that they are joined to, and what waits to be collected. */
const copiesPerBody = 3;

/** A single body leaves less behind that waits to be collected. */
const copiesOfLoneBody = 2;

/** What the heap of a node without load takes beyond that at its start: the young generation, and state of the mesh. */
const idleGrowthBytes = 28_000_000;

/** Share of the rest of the heap for requests. What waits to be collected takes as much. */
const requestShare = 0.5;

/** A node with less for bodies and answers would refuse ordinary requests. */
const minBufferBytes = 8_000_000;

/** Enough for some hundred requests in work. */
const minRequestBytes = 8_000_000;

/** Shares of the descriptors. The rest is for files, the store and connections to servers and other nodes. */
const callerShare = 0.35;
const peerShare = 0.35;
const operatorShare = 0.02;

/** Enough for the programs that watch a node. */
const minOperatorConnections = 8;

/**
 * @param machine - What the process may use.
 * @param heapBytes - The most that the heap of this process may take.
 * @param startHeapBytes - What it takes at the start.
 * @returns The bounds.
 * @internal
 */
export function computeHeldLimits({memoryMb, maxFds}: MachineLimits, heapBytes: number = getHeapStatistics().heap_size_limit, startHeapBytes: number = getHeapStatistics().used_heap_size): HeldLimits {
	const memoryBytes = memoryMb * megabyte;
	const usedHeapBytes = Math.min(heapBytes, memoryBytes * maxHeapShare);
	const freeBytes = memoryBytes - processBytes - usedHeapBytes;
	return {
		bufferBytes: Math.max(minBufferBytes, Math.floor(freeBytes / copiesPerBody)),
		loneBufferBytes: Math.max(minBufferBytes, Math.floor(freeBytes / copiesOfLoneBody)),
		requestBytes: Math.max(minRequestBytes, Math.floor((usedHeapBytes - startHeapBytes - idleGrowthBytes) * requestShare)),
		callerConnections: Math.floor(maxFds * callerShare),
		peerConnections: Math.floor(maxFds * peerShare),
		operatorConnections: Math.max(minOperatorConnections, Math.floor(maxFds * operatorShare)),
	};
}
