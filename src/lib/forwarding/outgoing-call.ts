/**
 * A call on its way from the entry to a backend server: what is sent, what it is sent with, and how it ended.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {type Verdict} from '../common/verdict.js';
import {type RouteRule} from '../route-config/route-config.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {type Fingerprint} from '../quarantine/fingerprint.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type RequestMark} from '../quarantine/request-mark.js';
import {type LoadView} from '../decisions/load-view.js';
import {type RetryAllowance} from '../decisions/retry-allowance.js';
import {type AttemptNote, type MeshLog} from '../timeline/mesh-log.js';
import {type CallScope} from './call-scope.js';
import {type ForwardResult} from './forward-result.js';
import {type GateClient} from './gate-client.js';
import {type LocalGate} from './local-gate.js';

/** A call on its way. @internal */
export type OutgoingCall = {
	readonly id: string;
	readonly route: RouteRule;
	/** The part of the route that this call was dealt to. */
	readonly service: string;
	readonly method: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array | undefined;
	readonly fingerprint: RequestMark;
	/** Steady milliseconds. */
	readonly receivedAt: number;
	/** A backend server made it and holds a slot until it is answered. */
	readonly isNestedCall: boolean;
	/** Milliseconds since its caller first asked, when it was received. */
	readonly ageMs: number;
	readonly scope: CallScope;
};

/** How a call ended. @internal */
export type CallOutcome = {
	readonly result: ForwardResult;
	/** What holds for all attempts together. */
	readonly verdict: Verdict;
	readonly attempts: readonly AttemptNote[];
};

/** @internal */
export type SendContext = {
	readonly self: NodeId;
	readonly callerService: string;
	/** Servers of a service that are ready, with what is known of them for a request of a route; a few of them if there are many. */
	readonly listCandidates: (needs: {readonly service: string; readonly route: string; readonly tried: ReadonlySet<LifetimeKey>; readonly trialOf?: Fingerprint | undefined}) => readonly Candidate[];
	readonly quarantine: Pick<Quarantine, 'judge'>;
	readonly domain: Candidate['domain'];
	readonly localGate: LocalGate;
	readonly gateClient: GateClient;
	readonly loads: LoadView;
	readonly retryBudget: RetryAllowance;
	readonly log: MeshLog;
	readonly random: () => number;
	readonly noteUnreachable: (node: NodeId, reason: string) => void;
	readonly noteReached: (node: NodeId) => void;
	/** Calls back each time that a node is found silent; yields a function that takes that back. */
	readonly watchSilence: (node: NodeId, handleSilence: () => void) => () => void;
};
