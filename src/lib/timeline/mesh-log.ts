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
export type AttemptRecord = {
	readonly server: string;
	readonly node: string;
	readonly verdict: Verdict;
	readonly outcome: string;
	readonly tookMs: number;
	/** Milliseconds since the choice's information was heard. */
	readonly infoAgeMs?: number;
};

/** What was refused: a datagram at the address for heartbeats, what came over a connection to the gate, a call at the address for announcements, an entry of the store. @internal */
export type RefusalKind = 'heartbeat-refused' | 'peer-refused' | 'announcement-refused' | 'entry-refused';

/** Why input was refused. @internal */
export type RefusalCause =
	/** Bytes, or a field, that cannot be read. */
	| 'unreadable'
	/** It speaks in the name of this node. */
	| 'own-name'
	/** More than any mesh sends. */
	| 'flood'
	/** It names an address at which nobody answers. */
	| 'no-answer'
	| AnnouncementCause;

/** Why a call that speaks for the backend server beside a node was refused. @internal */
export type AnnouncementCause =
	/** The target names no server. */
	| 'server-id'
	/** The body is no JSON object in UTF-8. */
	| 'body'
	/** It does not say which start of the server speaks, or not as a whole number. */
	| 'start'
	/** A field is missing, has another type or is out of bounds. */
	| 'field'
	/** The server says that it is in a state that is not known here. */
	| 'state'
	/** The server says that it runs another service than the one beside this node. */
	| 'service';

/** What happened. @internal */
/* eslint-disable @stylistic/max-len -- one event a line reads as the table that it is */
export type MeshEvent =
	| {readonly kind: 'node-started'; readonly run: string; readonly service: string; readonly address: string}
	| {readonly kind: 'node-ready'; readonly version: number}
	| {readonly kind: 'node-draining'; readonly reason: string; readonly requests: number}
	| {readonly kind: 'node-stopped'; readonly requests: number; readonly afterMs: number}
	| {readonly kind: 'node-paused'; readonly forMs: number}
	| {readonly kind: 'node-suspended'; readonly forMs: number}
	| {readonly kind: 'node-failed'; readonly reason: string}
	| {readonly kind: 'settings-reloaded'; readonly outcome: string; readonly reason?: string}
	| {readonly kind: 'configuration-applied'; readonly version: number; readonly from: string; readonly routes: number}
	/** Another node told of a version that is newer than any heard of before. */
	| {readonly kind: 'configuration-heard'; readonly version: number; readonly from: string; readonly held: number}
	/** Another node was asked for its configuration, and this came of it. */
	| {readonly kind: 'configuration-not-fetched'; readonly version: number; readonly from: string; readonly held: number; readonly outcome: string; readonly reason: string; readonly tookMs: number}
	/** The store was asked for the configuration, whole or for changes of it. */
	| {readonly kind: 'configuration-read'; readonly call: string; readonly version: number; readonly tookMs: number}
	| {readonly kind: 'configuration-refused'; readonly version: number; readonly from: string; readonly reason: string}
	| {readonly kind: 'configuration-unknown'; readonly version: number; readonly reason: string; readonly count: number}
	| {readonly kind: 'store-lost'; readonly reason: string; readonly call: string}
	| {readonly kind: 'store-restored'; readonly era: number}
	| {readonly kind: 'store-back'; readonly afterMs: number}
	| {readonly kind: 'watch-duty-changed'; readonly isFollowing: boolean; readonly version: number}
	| {readonly kind: 'lease-lost'; readonly reason: string}
	| {readonly kind: 'node-registered'; readonly reason: string}
	| {readonly kind: 'peer-seen'; readonly peer: string; readonly news: string; readonly version: number; readonly isLeaving: boolean; readonly server?: string; readonly service?: string; readonly state?: string}
	| {readonly kind: 'peer-lost'; readonly peer: string; readonly heardMsAgo: number}
	| {readonly kind: 'peer-forgotten'; readonly peer: string; readonly silentMs: number}
	| {readonly kind: 'peer-avoided'; readonly peer: string; readonly reason: string}
	| {readonly kind: 'heartbeat-not-sent'; readonly address: string; readonly reason: string}
	| {readonly kind: 'gossip-failed'; readonly reason: string}
	| {readonly kind: 'server-announced'; readonly server: string; readonly startedAt: number; readonly service: string; readonly slots: number; readonly coldMs: number}
	| {readonly kind: 'server-draining'; readonly server: string; readonly how: string}
	| {readonly kind: 'server-silent'; readonly server: string; readonly heardMsAgo: number}
	| {readonly kind: 'server-doubted'; readonly server: string; readonly reason: string}
	| {readonly kind: 'server-crashed'; readonly server: string; readonly atWork: number; readonly suspects: readonly string[]; readonly calls: readonly string[]}
	| {readonly kind: 'request-suspected'; readonly fingerprint: string; readonly crashes: number; readonly from: string}
	| {readonly kind: 'request-cleared'; readonly fingerprint: string; readonly crashes: number}
	/** Several callers asked for it right after a crash, and no server has answered it. */
	| {readonly kind: 'request-repeated'; readonly fingerprint: string}
	| {readonly kind: 'crash-not-stored'; readonly crash: string; readonly reason: string}
	| {readonly kind: 'quarantine-not-stored'; readonly fingerprint: string; readonly reason: string}
	| {readonly kind: 'connections-renewed'; readonly server: string; readonly reason: string}
	| {readonly kind: RefusalKind; readonly cause: RefusalCause; readonly place: string; readonly reason: string; readonly count: number}
	| {readonly kind: 'attempt-failed'; readonly call: string; readonly route: string; readonly attempt: AttemptRecord; readonly next: string}
	| {readonly kind: 'call-finished'; readonly call: string; readonly route: string; readonly version: number; readonly status: number; readonly verdict: Verdict; readonly reason: string; readonly tookMs: number; readonly leftMs: number; readonly attempts: readonly AttemptRecord[]}
	| {readonly kind: 'gate-refused'; readonly call: string; readonly server: string; readonly reason: string; readonly rank: number; readonly running: number; readonly waiting: number; readonly serviceMs: number; readonly mayWaitMs: number}
	/** The caller left before the work on its request began; it was sent to no server. */
	| {readonly kind: 'caller-left'; readonly call: string; readonly route: string; readonly waitedMs: number}
	| {readonly kind: 'request-refused'; readonly call: string; readonly status: number; readonly reason: string; readonly host: string; readonly path: string; readonly version: number}
	| {readonly kind: 'lines-dropped'; readonly of: string; readonly count: number};
/* eslint-enable @stylistic/max-len */

/** @internal */
export type MeshLog = {
	readonly record: (level: LogLevel, event: MeshEvent) => void;
};

/** A log that keeps nothing, for parts that run without one. @internal */
export const silentLog: MeshLog = {record: () => undefined};
