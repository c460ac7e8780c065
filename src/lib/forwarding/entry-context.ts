/**
 * What the server for callers needs, and what it reports of each call.
 *
 * @module
 */
import {type ListenForEnd} from '../common/request-start-limiter.js';
import {type LoopLag} from '../common/loop-lag.js';
import {type Verdict} from '../common/verdict.js';
import {type CallerRetryDetector} from '../decisions/caller-retry-detector.js';
import {type NestedCallDetector} from '../decisions/nested-call-detector.js';
import {type MemoryLedger} from '../memory/memory-ledger.js';
import {type ClosedConnection} from '../memory/closed-connection.js';
import {type Quotas} from '../quotas/quotas.js';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {type WeightedRoundRobin} from '../route-config/weighted-round-robin.js';
import {type AttemptRecord, type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {type CallHeaderNames} from './call-headers.js';
import {type SendContext} from './outgoing-call.js';
import {type TokenUse} from './quota-token.js';

/** A finished call, for logs and metrics. @internal */
export type FinishedCall = {
	readonly id: string;
	readonly route: string;
	readonly service: string;
	/** Name of the workspace of the caller; `undefined` if it has none. */
	readonly workspace: string | undefined;
	readonly version: number;
	readonly status: number;
	readonly verdict: Verdict;
	/** `answered`, or the reason of the failure, a colon and the details. */
	readonly reason: string;
	/** Since the request arrived at the earliest, in milliseconds. */
	readonly tookMs: number;
	/** How long the request has waited unread at most, in milliseconds. */
	readonly unreadMs: number;
	readonly leftMs: number;
	readonly attempts: readonly AttemptRecord[];
	/** How the request got a token of the quota of its workspace; absent if there is no quota. */
	readonly quota?: TokenUse;
};

/** @internal */
export type EntryContext = SendContext & {
	readonly headerNames: CallHeaderNames;
	readonly getConfig: () => ActiveConfig | undefined;
	/** Whether this node knows of a newer configuration than the one it holds. */
	readonly isConfigOutdated: () => boolean;
	/** Waits until the newer configuration has been applied, or for a short time at most. */
	readonly waitForNewerConfig: () => Promise<void>;
	readonly weightedRoundRobin: WeightedRoundRobin;
	readonly callerRetryDetector: CallerRetryDetector;
	readonly nestedCallDetector: NestedCallDetector;
	readonly quotas: Pick<Quotas, 'acquire'>;
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	/** If this process lags behind, waits until input that has already arrived is read, so that the disconnect of a caller is noticed before work on its request starts. */
	readonly waitForPendingInput: (isNewConnection: boolean, listenForEnd: ListenForEnd) => Promise<void>;
	/** Estimates how long a request that was read just now has waited unread. */
	readonly estimateUnread: LoopLag['estimateUnread'];
	readonly handleFinished: (call: FinishedCall) => void;
	/** What this process holds for its clients; that of the smallest machines if omitted. */
	readonly ledger?: MemoryLedger;
	/** Maximum number of connections of callers; a number that no machine reaches if omitted. */
	readonly maxConnections?: number;
	/** Called with each connection of a caller that is closed to keep a bound; not called if omitted. */
	readonly handleClosed?: (closed: ClosedConnection) => void;
};
