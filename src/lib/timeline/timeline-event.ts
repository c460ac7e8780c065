/**
 * What the time line records.
 *
 * @module
 */
import {
	type BackendServerId, type CallId, type NodeId, type SubmissionId,
} from '../common/ids.js';
import {type Verdict} from '../common/verdict.js';
import {type NodeStatus} from '../directory/node-record.js';

/** What happened, without when and where. @public */
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
	| {readonly kind: 'server-withdrawn'; readonly server: BackendServerId; readonly reason: string}
	| {readonly kind: 'server-ejected'; readonly server: BackendServerId; readonly reason: string; readonly forMs: number}
	| {readonly kind: 'request-suspected'; readonly fingerprint: string; readonly crashes: number; readonly from: string}
	| {readonly kind: 'request-repeated'; readonly fingerprint: string}
	| {readonly kind: 'request-cleared'; readonly fingerprint: string; readonly crashes: number}
	| {readonly kind: 'attempt-failed'; readonly call: CallId; readonly server: BackendServerId; readonly verdict: Verdict; readonly reason: string}
	| {readonly kind: 'call-finished'; readonly call: CallId; readonly route: string; readonly status: number; readonly verdict: Verdict; readonly version: number; readonly attempts: number};

/** @public */
export type EventKind = EventDetail['kind'];

/** An event on the time line. @public */
export type TimelineEvent = EventDetail & {
	/** Lamport time: what could have caused an event has a smaller one. */
	readonly time: number;
	readonly node: NodeId;
	/** Milliseconds since the epoch by the node's own clock; for people, never for order. */
	readonly at: number;
};

/** Which events are wanted. @public */
export type TimelineFilter = {
	readonly node?: string;
	readonly call?: string;
	readonly version?: number;
};

/**
 * Puts events of several nodes in one order that no effect precedes its cause in.
 *
 * @param events - Events of any number of nodes.
 * @returns The same events, ordered.
 * @public
 */
export function sortEvents(events: readonly TimelineEvent[]): readonly TimelineEvent[] {
	return events.toSorted((left, right) => left.time - right.time || (left.node < right.node ? -1 : Number(left.node > right.node)));
}

/**
 * @param event - An event.
 * @param filter - What is wanted; an empty filter wants everything.
 * @returns Whether the event is wanted.
 * @public
 */
export function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
	const isNode = filter.node === undefined || event.node === filter.node;
	const isCall = filter.call === undefined || ('call' in event && event.call === filter.call);
	const isVersion = filter.version === undefined || ('version' in event && event.version === filter.version);
	return isNode && isCall && isVersion;
}

/**
 * @param event - An event.
 * @returns One line for people.
 * @public
 */
export function formatEvent(event: TimelineEvent): string {
	const {time, node, at, kind, ...details} = event;
	const clock = new Date(at).toISOString().slice(11, 23);
	const text = Object.entries(details).map(([name, value]) => `${name}=${String(value)}`).join(' ');
	return `${String(time).padStart(7)}  ${clock}  ${node.padEnd(14)} ${kind.padEnd(22)} ${text}`.trimEnd();
}
