/**
 * The events of the timeline.
 *
 * @module
 */
import {type ClosingCause} from '../memory/closed-connection.js';
import {
	type BackendServerId, type CallId, type NodeId, type SubmissionId,
} from '../common/ids.js';
import {type Verdict} from '../common/verdict.js';
import {type NodeStatus} from '../directory/node-record.js';

/** The kind and the fields of an event, without time and node. @public */
export type EventDetail =
	| {readonly kind: 'node-started'}
	| {readonly kind: 'node-ready'; readonly version: number}
	| {readonly kind: 'node-draining'}
	| {readonly kind: 'node-stopped'}
	| {readonly kind: 'submission-settled'; readonly submission: SubmissionId; readonly outcome: string; readonly version?: number}
	| {readonly kind: 'configuration-applied'; readonly version: number; readonly from: string}
	| {readonly kind: 'configuration-refused'; readonly version: number; readonly reason: string; readonly from: string}
	| {readonly kind: 'relay-started'; readonly domain: string}
	| {readonly kind: 'relay-stopped'; readonly domain: string}
	| {readonly kind: 'store-lost'; readonly reason: string}
	| {readonly kind: 'store-back'; readonly version: number}
	| {readonly kind: 'member-status'; readonly member: NodeId; readonly status: NodeStatus}
	| {readonly kind: 'server-announced'; readonly server: BackendServerId; readonly service: string}
	| {readonly kind: 'server-draining'; readonly server: BackendServerId}
	/** The server named another limit, or none (`undefined`), in requests per second. */
	| {readonly kind: 'server-limit-changed'; readonly server: BackendServerId; readonly perSecond: number | undefined; readonly before: number | undefined}
	/** The limit that the server named cannot be read. */
	| {readonly kind: 'server-limit-refused'; readonly server: BackendServerId; readonly reason: string}
	| {readonly kind: 'server-withdrawn'; readonly server: BackendServerId; readonly reason: string}
	| {readonly kind: 'server-ejected'; readonly server: BackendServerId; readonly reason: string; readonly forMs: number}
	| {readonly kind: 'request-suspected'; readonly fingerprint: string; readonly crashes: number; readonly from: string}
	| {readonly kind: 'request-repeated'; readonly fingerprint: string}
	| {readonly kind: 'request-cleared'; readonly fingerprint: string; readonly crashes: number}
	| {readonly kind: 'attempt-failed'; readonly call: CallId; readonly server: BackendServerId; readonly verdict: Verdict; readonly reason: string}
	/** The connection closed before the answer was sent: it was reset, or the node closed it. */
	| {readonly kind: 'answer-not-sent'; readonly call: CallId; readonly status: number}
	/** A connection was closed to keep memory or descriptors free: the one that held most without progress, or was idle for longest. */
	| {readonly kind: 'connection-closed'; readonly reason: ClosingCause; readonly client: string; readonly bytes: number; readonly requests: number}
	/** The node destroyed the connection of the caller, so that it does not take a part of an answer for a whole one. */
	| {readonly kind: 'answer-broken-off'; readonly call: CallId; readonly reason: string}
	/** A backend server sent bytes that belong to no request while it worked on this one. `isAnswered` tells whether its response followed. */
	| {readonly kind: 'other-bytes-skipped'; readonly call: CallId; readonly server: BackendServerId; readonly bytes: number; readonly isAnswered: boolean}
	| {readonly kind: 'call-finished'; readonly call: CallId; readonly route: string; readonly status: number; readonly verdict: Verdict; readonly version: number; readonly attempts: number};

/** @public */
export type EventKind = EventDetail['kind'];

/** An event of the timeline. @public */
export type TimelineEvent = EventDetail & {
	/** Lamport time: any event that may have caused this one has a smaller time. */
	readonly time: number;
	readonly node: NodeId;
	/** Milliseconds since the epoch by the clock of the node; for display only, not for ordering. */
	readonly at: number;
};

/** The conditions that an event must match. @public */
export type TimelineFilter = {
	readonly node?: string;
	readonly call?: string;
	readonly version?: number;
};

/**
 * Sorts the events of several nodes so that causes precede their effects.
 *
 * @param events - Events of any number of nodes.
 * @returns The same events by Lamport time, then by node.
 * @public
 */
export function sortEvents(events: readonly TimelineEvent[]): readonly TimelineEvent[] {
	return events.toSorted((left, right) => left.time - right.time || (left.node < right.node ? -1 : Number(left.node > right.node)));
}

/**
 * Checks whether an event matches a filter.
 *
 * @param event - The event.
 * @param filter - The filter; an empty one matches every event.
 * @returns Whether the event matches all conditions of the filter.
 * @public
 */
export function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
	const isNode = filter.node === undefined || event.node === filter.node;
	const isCall = filter.call === undefined || ('call' in event && event.call === filter.call);
	const isVersion = filter.version === undefined || ('version' in event && event.version === filter.version);
	return isNode && isCall && isVersion;
}

/**
 * Formats an event for display.
 *
 * @param event - The event.
 * @returns One line: Lamport time, time of day, node, kind and fields.
 * @public
 */
export function formatEvent(event: TimelineEvent): string {
	const {time, node, at, kind, ...details} = event;
	const clock = new Date(at).toISOString().slice(11, 23);
	const text = Object.entries(details).map(([name, value]) => `${name}=${String(value)}`).join(' ');
	return `${String(time).padStart(7)}  ${clock}  ${node.padEnd(14)} ${kind.padEnd(22)} ${text}`.trimEnd();
}
