/**
 * The events of this node, the newest few thousand of them.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';
import {type LamportClock} from './lamport-clock.js';
import {
	matchesFilter, type EventDetail, type TimelineEvent, type TimelineFilter,
} from './timeline-event.js';

/** @public */
export type Timeline = {
	readonly record: (detail: EventDetail) => void;
	/** Events after a Lamport time, oldest first. */
	readonly list: (filter?: TimelineFilter, after?: number) => readonly TimelineEvent[];
};

/** Events kept of each sort; calls have a store of their own so that they do not push out what the mesh did. */
const ringBufferSize = 2048;

const callKinds: ReadonlySet<EventDetail['kind']> = new Set(['attempt-failed', 'call-finished']);

type RingBuffer = {
	readonly push: (event: TimelineEvent) => void;
	readonly list: () => readonly TimelineEvent[];
};

function createRingBuffer(size: number): RingBuffer {
	const slots: TimelineEvent[] = [];
	let next = 0;
	return {
		push(event) {
			slots[next] = event;
			next = (next + 1) % size;
		},
		list: () => [...slots.slice(next), ...slots.slice(0, next)],
	};
}

/**
 * Creates the time line of one node.
 *
 * @param node - Whose events these are.
 * @param clock - The node's Lamport clock.
 * @param handleEvent - Told of every event; the daemon logs them.
 * @returns The time line.
 * @internal
 */
export function createTimeline(node: NodeId, clock: LamportClock, handleEvent?: (event: TimelineEvent) => void): Timeline {
	const meshEvents = createRingBuffer(ringBufferSize);
	const callEvents = createRingBuffer(ringBufferSize);
	return {
		record(detail) {
			const event: TimelineEvent = {
				...detail, time: clock.advance(), node, at: readNow(),
			};
			(callKinds.has(detail.kind) ? callEvents : meshEvents).push(event);
			handleEvent?.(event);
		},
		list: (filter = {}, after = 0) => [...meshEvents.list(), ...callEvents.list()]
			.filter(event => event.time > after && matchesFilter(event, filter))
			.toSorted((left, right) => left.time - right.time),
	};
}
