/**
 * The structured log of a sidecar node: one line for each decision. What an
 * event holds is typed here and nowhere else.
 *
 * @module
 */
import {type Verdict} from '../common/verdict.js';

/** @internal */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** How one attempt of a request ended, as the log tells it. @internal */
export type AttemptNote = {
	readonly server: string;
	readonly node: string;
	readonly verdict: Verdict;
	readonly outcome: string;
	readonly tookMs: number;
	/** Milliseconds since the choice's information was heard. */
	readonly infoAgeMs?: number;
};

/** What happened. @internal */
/* eslint-disable @stylistic/max-len -- one event a line reads as the table that it is */
export type MeshEvent =
	| {readonly kind: 'node-started'; readonly run: string; readonly service: string; readonly address: string}
	| {readonly kind: 'node-ready'; readonly version: number}
	| {readonly kind: 'node-draining'; readonly reason: string; readonly requests: number}
	| {readonly kind: 'node-stopped'; readonly requests: number; readonly afterMs: number}
	| {readonly kind: 'node-paused'; readonly forMs: number}
	| {readonly kind: 'node-failed'; readonly reason: string}
	| {readonly kind: 'settings-reloaded'; readonly outcome: string; readonly reason?: string}
	| {readonly kind: 'configuration-applied'; readonly version: number; readonly from: string; readonly routes: number}
	| {readonly kind: 'configuration-refused'; readonly version: number; readonly from: string; readonly reason: string}
	| {readonly kind: 'configuration-unknown'; readonly version: number; readonly reason: string; readonly count: number}
	| {readonly kind: 'store-lost'; readonly reason: string; readonly call: string}
	| {readonly kind: 'store-back'; readonly afterMs: number}
	| {readonly kind: 'watch-duty-changed'; readonly isFollowing: boolean; readonly version: number}
	| {readonly kind: 'lease-lost'; readonly reason: string}
	| {readonly kind: 'node-registered'; readonly reason: string}
	| {readonly kind: 'peer-seen'; readonly peer: string; readonly news: string; readonly version: number; readonly isLeaving: boolean; readonly server?: string; readonly service?: string; readonly state?: string}
	| {readonly kind: 'peer-lost'; readonly peer: string; readonly heardMsAgo: number}
	| {readonly kind: 'peer-forgotten'; readonly peer: string; readonly silentMs: number}
	| {readonly kind: 'peer-avoided'; readonly peer: string; readonly reason: string}
	| {readonly kind: 'peer-refused'; readonly address: string; readonly reason: string}
	| {readonly kind: 'heartbeat-refused'; readonly reason: string; readonly count: number}
	| {readonly kind: 'heartbeat-not-sent'; readonly address: string; readonly reason: string}
	| {readonly kind: 'gossip-failed'; readonly reason: string}
	| {readonly kind: 'server-announced'; readonly server: string; readonly startedAt: number; readonly service: string; readonly slots: number; readonly coldMs: number}
	| {readonly kind: 'server-draining'; readonly server: string; readonly how: string}
	| {readonly kind: 'server-silent'; readonly server: string; readonly heardMsAgo: number}
	| {readonly kind: 'server-doubted'; readonly server: string; readonly reason: string}
	| {readonly kind: 'connections-renewed'; readonly server: string; readonly reason: string}
	| {readonly kind: 'announcement-refused'; readonly place: string; readonly reason: string}
	| {readonly kind: 'attempt-failed'; readonly call: string; readonly route: string; readonly attempt: AttemptNote; readonly next: string}
	| {readonly kind: 'call-finished'; readonly call: string; readonly route: string; readonly version: number; readonly status: number; readonly verdict: Verdict; readonly reason: string; readonly tookMs: number; readonly leftMs: number; readonly attempts: readonly AttemptNote[]}
	| {readonly kind: 'gate-refused'; readonly call: string; readonly server: string; readonly reason: string; readonly rank: number; readonly running: number; readonly waiting: number; readonly serviceMs: number; readonly mayWaitMs: number}
	| {readonly kind: 'request-refused'; readonly call: string; readonly status: number; readonly reason: string; readonly host: string; readonly path: string; readonly version: number}
	| {readonly kind: 'lines-dropped'; readonly of: string; readonly count: number};
/* eslint-enable @stylistic/max-len */

/** @internal */
export type MeshLog = {
	readonly record: (level: LogLevel, event: MeshEvent) => void;
};

/** A log that keeps nothing, for parts that run without one. @internal */
export const silentLog: MeshLog = {record: () => undefined};
