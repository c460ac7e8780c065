/**
 * Types of a call that the entry sends to a backend server: the call, its dependencies and its outcome.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {type Verdict} from '../common/verdict.js';
import {type RouteRule} from '../route-config/route-config.js';
import {type Workspace} from '../workspaces/workspace.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {type Fingerprint} from '../quarantine/fingerprint.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type EntryRollouts, type VersionChoice} from '../rollout/rollouts.js';
import {type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {type LoadView} from '../decisions/load-view.js';
import {type MeshRetryBudget} from '../decisions/mesh-retry-budget.js';
import {type AttemptRecord, type MeshLog} from '../timeline/mesh-log.js';
import {type CallScope} from './call-scope.js';
import {type ForwardFailure, type ForwardResponse, type ForwardResult} from './forward-result.js';
import {type GateClient} from './gate-client.js';
import {type LocalGate} from './local-gate.js';

/** A call that the entry sends. @internal */
export type OutgoingCall = {
	readonly id: string;
	readonly route: RouteRule;
	/** The service of the route that was chosen for this call. */
	readonly service: string;
	readonly method: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array | undefined;
	readonly fingerprint: LazyFingerprint;
	/** In milliseconds of the steady clock. */
	readonly receivedAt: number;
	/** Whether a backend server made the call. That server holds a slot until it gets the response. */
	readonly isNestedCall: boolean;
	/** Estimated time from the caller's first attempt to the receipt of this one, in milliseconds. */
	readonly ageMs: number;
	readonly scope: CallScope;
	/** The workspace of the caller; `undefined` if it has none. */
	readonly workspace: Workspace | undefined;
	/** Returns why the request must not be sent to a server any more; `undefined` while it may be. */
	readonly checkAccess: () => ForwardFailure | undefined;
};

/** The outcome of a call. @internal */
export type CallOutcome = {
	readonly result: ForwardResult;
	/** The verdict over all attempts. */
	readonly verdict: Verdict;
	readonly attempts: readonly AttemptRecord[];
};

/** @internal */
export type SendContext = {
	readonly self: NodeId;
	readonly callerService: string;
	/** Lists the ready servers of a service, with their load as known for a request of a route. Returns a sample if there are many. */
	readonly listCandidates: (needs: {readonly service: string; readonly route: string; readonly tried: ReadonlySet<LifetimeKey>; readonly trialOf?: Fingerprint | undefined; readonly matches?: VersionChoice['matches'] | undefined}) => readonly Candidate[];
	readonly quarantine: Pick<Quarantine, 'check'>;
	readonly rollouts: EntryRollouts;
	readonly domain: Candidate['domain'];
	readonly localGate: LocalGate;
	readonly gateClient: GateClient;
	readonly loads: LoadView;
	/** Records what the response of a backend server says of the server. */
	readonly recordNotices: (server: LifetimeKey, headers: ForwardResponse['headers']) => void;
	readonly retryBudget: MeshRetryBudget;
	readonly log: MeshLog;
	readonly random: () => number;
	readonly noteUnreachable: (node: NodeId, reason: string) => void;
	readonly noteReached: (node: NodeId) => void;
	/** Calls the handler each time a check finds a node silent; returns a function that unsubscribes. */
	readonly watchSilence: (node: NodeId, handleSilence: () => void) => () => void;
};
