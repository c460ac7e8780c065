/**
 * Keeps the newest events of this node in memory.
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
	/** Lists the events after a Lamport time that match a filter, oldest first. */
	readonly list: (filter?: TimelineFilter, after?: number) => readonly TimelineEvent[];
};

/** Number of events in each ring buffer. Events of calls have a buffer of their own, so that they do not displace other events. */
const ringBufferSize = 2048;

const callKinds: ReadonlySet<EventDetail['kind']> = new Set(['attempt-failed', 'call-finished', 'answer-not-sent', 'answer-broken-off', 'other-bytes-skipped']);

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
 * Creates the timeline of one node.
 *
 * @param node - The node.
 * @param clock - The Lamport clock of the node.
 * @param handleEvent - Called for each event; the daemon logs the events.
 * @returns The timeline.
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
