/**
 * The structured log of a sidecar node, with one line for each decision. This
 * module defines the fields of all events.
 *
 * @module
 */
import {type ClosingCause} from '../memory/closed-connection.js';
import {type ReleaseCause} from '../decisions/held-slots.js';
import {type FullCause} from '../decisions/slot-queue.js';
import {type Verdict} from '../common/verdict.js';

/** @internal */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** The result of one attempt of a request, as part of log events. @internal */
export type AttemptRecord = {
	readonly server: string;
	readonly node: string;
	readonly verdict: Verdict;
	readonly outcome: string;
	readonly tookMs: number;
	/** Age of the report on which the choice of the server was based, in milliseconds. */
	readonly infoAgeMs?: number;
	/** How slow the VM of the server was by that report, as a factor of the average time; absent if the server does not say. */
	readonly slowness?: number;
};

/** The kind of input that was refused: a datagram at the heartbeat address, input on a connection to the gate, a call at the announcement address, an entry of the store, a header of a response. @internal */
export type RefusalKind = 'heartbeat-refused' | 'peer-refused' | 'announcement-refused' | 'entry-refused'
	/** A limit in a response of the backend server. */
	| 'limit-refused'
	/** A load report in a response of the backend server. */
	| 'load-refused'
	/** A request of a caller that is not identified. */
	| 'caller-refused';

/** The address at which a connection was closed to keep a bound. @internal */
export type ClosingPlace = 'callers' | 'announcements' | 'readiness' | 'metrics';

/** Why input was refused. @internal */
export type RefusalCause =
	/** The bytes or a field are invalid. */
	| 'unreadable'
	/** The sender uses the name of this node. */
	| 'own-name'
	/** It exceeds a limit that legitimate traffic does not reach in a mesh of any size. */
	| 'flood'
	/** It contains an address that does not answer. */
	| 'no-answer'
	| AnnouncementCause
	| CallerCause;

/** Why a request of a caller that is not identified was refused. @internal */
export type CallerCause = 'missing-key' | 'repeated-header' | 'malformed-credentials' | 'unknown-key'
	/** The key is unknown to a node that knows of a newer configuration. */
	| 'outdated-config'
	/** The key was withdrawn while the request waited. */
	| 'withdrawn-key';

/** Why an announcement or leave of the backend server beside a node was refused. @internal */
export type AnnouncementCause =
	/** The request target contains no server id. */
	| 'server-id'
	/** The body is not a JSON object in UTF-8. */
	| 'body'
	/** The start time of the server is missing or not an integer. */
	| 'start'
	/** A field is missing, has the wrong type or is out of range. */
	| 'field'
	/** The state of the server is unknown. */
	| 'state'
	/** The departure would be forgotten if this node restarted. */
	| 'not-replicated'
	/** The server reports another service than the one in the settings of this node. */
	| 'service';

/** A step of a shutdown that has been taken. @internal */
export type ShutdownStep = 'gate-closed' | 'connections-closing' | 'late-requests-refused' | 'listener-closed';

/** An event of the log. @internal */
/* eslint-disable @stylistic/max-len -- one event per line forms a table */
export type MeshEvent =
	| {readonly kind: 'node-started'; readonly run: string; readonly service: string; readonly address: string}
	| {readonly kind: 'node-ready'; readonly version: number}
	| {readonly kind: 'node-draining'; readonly reason: string; readonly requests: number}
	/** `requests` is the sum of the counts by place: a request of a caller is counted again while its response is sent, or while the gate has it. `unanswered` are the ids of the first requests that the node leaves without an answer. */
	| {readonly kind: 'node-stopped'; readonly requests: number; readonly calls: number; readonly gateRequests: number; readonly unsentAnswers: number; readonly unsentResponses: number; readonly queuedBytes: number; readonly afterMs: number; readonly unanswered: readonly string[]}
	/** A step of a shutdown, `lateMs` later than it was due if it was due at a certain time, and the requests in flight at that time by the place where they are. */
	| {readonly kind: 'shutdown-step'; readonly step: ShutdownStep; readonly afterMs: number; readonly lateMs?: number; readonly calls: number; readonly gateRequests: number; readonly unsentAnswers: number; readonly unsentResponses: number}
	| {readonly kind: 'node-paused'; readonly forMs: number}
	| {readonly kind: 'node-suspended'; readonly forMs: number}
	| {readonly kind: 'node-failed'; readonly reason: string; readonly call?: string}
	| {readonly kind: 'settings-reloaded'; readonly outcome: string; readonly reason?: string}
	| {readonly kind: 'configuration-applied'; readonly version: number; readonly from: string; readonly routes: number}
	/** Another node reported a version that is newer than any known version. */
	| {readonly kind: 'configuration-heard'; readonly version: number; readonly from: string; readonly held: number}
	/** The configuration was requested from another node, which did not return a usable one. */
	| {readonly kind: 'configuration-not-fetched'; readonly version: number; readonly from: string; readonly held: number; readonly outcome: string; readonly reason: string; readonly tookMs: number}
	/** The configuration, or its changes, were read from the store. `transferMs` is the time from the head of the answer to its end. */
	| {readonly kind: 'configuration-read'; readonly call: string; readonly version: number; readonly tookMs: number; readonly items?: number; readonly bytes?: number; readonly transferMs?: number}
	/** An answer of the store held several versions and arrived slowly, so that the newest one is read in its place. */
	| {readonly kind: 'configuration-answer-given-up'; readonly version: number; readonly changes: number; readonly afterMs: number}
	/** A request that was admitted before its server began to drain is sent to it. `bodyMs` is how long it had a slot until its body had arrived and it could be sent. */
	| {readonly kind: 'request-sent-while-draining'; readonly call: string; readonly server: string; readonly drainedMs: number; readonly bodyMs: number}
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
	| {readonly kind: 'server-announced'; readonly server: string; readonly startedAt: number; readonly service: string; readonly version: string; readonly slots: number; readonly coldMs: number}
	| {readonly kind: 'server-draining'; readonly server: string; readonly how: string}
	/** The server drained or left during an earlier run of this node, as the store or another node reports. */
	| {readonly kind: 'server-departed'; readonly server: string; readonly startedAt: number; readonly from: string}
	| {readonly kind: 'departure-not-stored'; readonly server: string; readonly reason: string}
	/** The server named another limit, or none (`undefined`), in requests per second. */
	| {readonly kind: 'server-limit-changed'; readonly server: string; readonly perSecond: number | undefined; readonly before: number | undefined}
	| {readonly kind: 'server-silent'; readonly server: string; readonly heardMsAgo: number}
	| {readonly kind: 'server-doubted'; readonly server: string; readonly reason: string}
	| {readonly kind: 'server-crashed'; readonly server: string; readonly atWork: number; readonly suspects: readonly string[]; readonly calls: readonly string[]}
	| {readonly kind: 'request-suspected'; readonly fingerprint: string; readonly crashes: number; readonly from: string}
	| {readonly kind: 'request-cleared'; readonly fingerprint: string; readonly crashes: number}
	/** Several callers sent the request shortly after a crash, and no server has responded to it since. */
	| {readonly kind: 'request-repeated'; readonly fingerprint: string}
	| {readonly kind: 'crash-not-stored'; readonly crash: string; readonly reason: string}
	| {readonly kind: 'quarantine-not-stored'; readonly fingerprint: string; readonly reason: string}
	/** A rollout was ordered, or entered its next stage. The reason contains the figures that decided it. */
	| {readonly kind: 'rollout-stage'; readonly service: string; readonly targetVersion: string; readonly order: number; readonly stage: string; readonly reason: string; readonly ageMs: number; readonly from: string}
	| {readonly kind: 'rollout-not-stored'; readonly service: string; readonly stage: string; readonly reason: string}
	| {readonly kind: 'connections-renewed'; readonly server: string; readonly reason: string}
	/** The server will not respond to a request. `limit` is the number of requests that the gate sends to it at the same time from now on. */
	| {readonly kind: 'request-hung'; readonly call: string; readonly server: string; readonly reason: string; readonly ageMs: number; readonly usualMs: number; readonly isEnded: boolean; readonly limit: number}
	/** Bytes that are not of its response arrived while a request was in flight: a response to another request, or none. `isAnswered` tells whether its response arrived as well. */
	| {readonly kind: 'other-bytes-skipped'; readonly call: string; readonly server: string; readonly bytes: number; readonly isAnswered: boolean; readonly ageMs: number}
	/** A slot that was held for a request that had been given up is free again. Times are milliseconds; `ageMs` is the time since the request was sent. */
	| {readonly kind: 'held-slot-released'; readonly call: string; readonly server: string; readonly reason: ReleaseCause; readonly heldMs: number; readonly ageMs: number; readonly stillHeld: number}
	/** A request that took too long ended without a response, and was not found to hang. `covering` is the number of load reports on which it should have been, `isShown` whether they show that the server does not have it. */
	| {readonly kind: 'request-overdue'; readonly call: string; readonly server: string; readonly ageMs: number; readonly usualMs: number; readonly covering: number; readonly missing: number; readonly late: number; readonly isShown: boolean}
	| {readonly kind: RefusalKind; readonly cause: RefusalCause; readonly place: string; readonly reason: string; readonly count: number; readonly call?: string}
	| {readonly kind: 'attempt-failed'; readonly call: string; readonly route: string; readonly attempt: AttemptRecord; readonly next: string}
	| {readonly kind: 'call-finished'; readonly call: string; readonly route: string; readonly workspace?: string | undefined; readonly version: number; readonly status: number; readonly verdict: Verdict; readonly reason: string; readonly tookMs: number; readonly unreadMs?: number; readonly leftMs: number; readonly attempts: readonly AttemptRecord[]; readonly quota?: 'granted' | 'waited' | 'returned'}
	| {readonly kind: 'gate-refused'; readonly call: string; readonly server: string; readonly reason: string; readonly rank: number; readonly running: number; readonly waiting: number; readonly serviceMs: number; readonly slowness?: number | undefined; readonly mayWaitMs: number; readonly limitPerSecond?: number | undefined; readonly caller?: string; readonly fullCause?: FullCause | undefined; readonly workspace?: string | undefined}
	/** The request was read behind a response that closes its connection, and was not passed on; the caller sends it again. */
	| {readonly kind: 'request-not-admitted'; readonly call: string}
	/** The connection closed before the answer was sent: it was reset, or the node closed it. */
	| {readonly kind: 'answer-not-sent'; readonly call: string; readonly status: number}
	/** The caller left before its request was started; the request was not sent to any server. */
	| {readonly kind: 'caller-left'; readonly call: string; readonly route: string; readonly waitedMs: number}
	| {readonly kind: 'request-refused'; readonly call: string; readonly status: number; readonly reason: string; readonly host: string; readonly path: string; readonly version: number; readonly workspace?: string; readonly quota?: 'over' | 'unknown'}
	/** A connection was closed to keep memory or descriptors free: the one that held most without progress, or was idle for longest. */
	| {readonly kind: 'connection-closed'; readonly place: ClosingPlace; readonly reason: ClosingCause; readonly client: string; readonly bytes: number; readonly requests: number}
	| {readonly kind: 'lines-dropped'; readonly of: string; readonly count: number};
/* eslint-enable @stylistic/max-len */

/** @internal */
export type MeshLog = {
	readonly record: (level: LogLevel, event: MeshEvent) => void;
};

/** A log that discards all events, for components that run without a log. @internal */
export const silentLog: MeshLog = {record: () => undefined};
