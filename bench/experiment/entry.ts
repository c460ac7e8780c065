/**
 * Simulates the entry node of a request: it sends the request to gates until one
 * answers, or until the decision functions of the nodes refuse it.
 *
 * @module
 */
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../../src/lib/common/ids.js';
import {toLifetimeKey} from '../../src/lib/common/server-lifetime.js';
import {computeRank} from '../../src/lib/decisions/call-rank.js';
import {mayTryAnotherGate, planAttempt, type CallState} from '../../src/lib/decisions/plan-attempt.js';
import {rankServers, type Candidate} from '../../src/lib/decisions/rank-servers.js';
import {type RetryReason} from '../../src/lib/decisions/mesh-retry-budget.js';
import {maxFreeLimitRefusals} from '../../src/lib/forwarding/call-progress.js';
import {type ModelServer} from './model-server.js';
import {type RequestKind} from './pattern.js';
import {type Simulation} from './simulation.js';

/** Result of a request at an entry node, as its sender sees it. */
export type EntryResult =
	| {readonly type: 'answered'}
	| {readonly type: 'refused'; readonly retryAfterMs: number}
	| {readonly type: 'failed'};

/** One attempt of a caller, or one nested call of a server, at an entry node. */
export type EntryRequest = {
	readonly kind: RequestKind;
	readonly node: number;
	readonly leftMs: number;
	readonly handleResult: (result: EntryResult) => void;
	isFinished: boolean;
};

/** Runs a request that holds a slot, and reports whether it was answered. */
export type RunAtServer = (request: EntryRequest, server: ModelServer, handleRun: (isAnswered: boolean) => void) => void;

function listCandidates({servers, nodes, policy, events, listActiveDisturbances, isAffected}: Simulation, node: number, kind: RequestKind): readonly Candidate[] {
	const goneDisturbances = listActiveDisturbances('gone');
	return servers.filter(server => server.service === kind.service && !goneDisturbances.some(disturbance => isAffected(disturbance, server))).map(server => {
		const id = toBackendServerId(server.id);
		const lifetime = toLifetimeKey({id, startedAt: 0});
		const view = nodes[node]!.loads.get(lifetime, kind.name);
		const isLocal = server.node === node;
		return {
			id, lifetime, node: toNodeId(`n${server.node}`), gate: toAddress('10.0.0.1:1'), domain: toFailureDomain(nodes[server.node]!.domain), isLocal, slots: server.slots, isCold: false,
			view: isLocal
				? {
					...view, ...server.getLoad(), ownInFlight: 0, ownInFlightAtReport: 0, reportedAt: events.getNow(),
				}
				: view,
		};
	});
}

/**
 * Sends a request from its entry node until it is answered, refused or failed.
 *
 * @param simulation - The simulation.
 * @param request - The request.
 * @param runAtServer - Runs the request once it has a slot.
 */
export function sendEntryRequest(simulation: Simulation, request: EntryRequest, runAtServer: RunAtServer): void {
	const {policy, events, random, servers, listActiveDisturbances} = simulation;
	const {kind} = request;
	const node = simulation.nodes[request.node]!;
	const route = simulation.getRoute(kind.name);
	const receivedAt = events.getNow();
	const isNestedCall = policy.areCallsKnown && node.nestedCalls.recordCall(kind.service, kind.name, kind.targetLatencyMs);
	const ageMs = isNestedCall ? 0 : node.callerRetries.recordCall(kind.name, request.leftMs);
	const history = {tried: new Set<Candidate['lifetime']>(), full: new Set<Candidate['lifetime']>(), refusals: 0};
	let serverAttempts = 0;
	let limitRefusals = 0;
	let minimumWaitMs = Number.POSITIVE_INFINITY;
	node.retryBudget.recordRequest(kind.service, isNestedCall, receivedAt);

	const getLeftMs = (): number => Math.min(request.leftMs, kind.timeoutMs) - (events.getNow() - receivedAt);

	const refuse = (waitMs: number, isOverloaded: boolean): void => {
		request.handleResult({type: 'refused', retryAfterMs: policy.computeRetryDelayMs({waitMs: Math.min(minimumWaitMs, waitMs), targetLatencyMs: kind.targetLatencyMs, isOverloaded}, random)});
	};

	const getCallState = (): CallState => ({
		targetLatencyMs: kind.targetLatencyMs, ageMs: ageMs + events.getNow() - receivedAt, leftMs: getLeftMs(), isNestedCall, isBulk: false, priority: isNestedCall ? 0 : kind.priority,
		isOverShare: policy.areSharesKept && kind.workspace !== undefined && node.loads.shareRefusals.isOverShare(kind.workspace, events.getNow()),
	});

	const tryNextGate = (): void => {
		if (request.isFinished) {
			return;
		}

		const callState = getCallState();
		const ranked = rankServers(listCandidates(simulation, request.node, kind), {domain: toFailureDomain(node.domain), random, ...policy.computeThresholds(route, isNestedCall, callState.ageMs)});
		const plan = planAttempt(callState, history, ranked, {...policy, random}, events.getNow());
		if (plan.type !== 'send') {
			const isOverloaded = plan.type === 'refuse' || plan.type === 'hold-back' || plan.type === 'over-share';
			refuse(isOverloaded ? plan.waitMs : 0, isOverloaded);
			return;
		}

		send(plan.target, plan.mayWaitMs);
	};

	/** Sends the answer of a gate to the entry node, with the load of the server. */
	const sendAnswer = (server: ModelServer, target: Candidate, handle: () => void): void => {
		const oneWayMs = simulation.getOneWayMs(server.node, request.node);
		events.schedule(oneWayMs, () => {
			node.loads.recordEnd(target.lifetime);
			node.loads.recordReport(target.lifetime, server.getLoad(), events.getNow());
			node.loads.recordRoundTrip(target.lifetime, kind.name, oneWayMs * 2);
			handle();
		});
	};

	const handleFull = (target: Candidate, mayWaitMs: number, retryAfterMs: number): void => {
		minimumWaitMs = Math.min(minimumWaitMs, retryAfterMs);
		history.refusals++;
		(mayWaitMs === 0 ? history.full : history.tried).add(target.lifetime);
		if (mayTryAnotherGate({isBulk: false}, history.refusals)) {
			tryNextGate();
		} else {
			refuse(retryAfterMs, true);
		}
	};

	/** Handles a refusal by the limit of a server, which the entry then avoids for a while. */
	const handleLimited = (target: Candidate, mayWaitMs: number, retryAfterMs: number): void => {
		if (policy.areLimitsAvoided) {
			node.loads.recordLimited(target.lifetime, retryAfterMs * (1 + random()), events.getNow());
		}

		limitRefusals++;
		history.refusals -= limitRefusals <= maxFreeLimitRefusals ? 1 : 0;
		handleFull(target, mayWaitMs, retryAfterMs);
	};

	/** Handles a request that reached a server and was refused or failed there. */
	const handleServerFailure = (target: Candidate, reason: Exclude<RetryReason, 'call-turned-away'>): void => {
		serverAttempts++;
		history.tried.add(target.lifetime);
		const isRetryable = kind.isRetryable || reason === 'turned-away';
		const retryReason = reason === 'turned-away' && isNestedCall ? 'call-turned-away' : reason;
		if (isRetryable && serverAttempts < route.maxAttempts && node.retryBudget.tryAcquire(kind.service, retryReason, events.getNow())) {
			tryNextGate();
		} else if (reason === 'turned-away') {
			refuse(0, false);
		} else {
			request.handleResult({type: 'failed'});
		}
	};

	const run = (server: ModelServer, target: Candidate, handleFinish: (isAnswered: boolean) => void): void => {
		runAtServer(request, server, isAnswered => {
			handleFinish(isAnswered);
			sendAnswer(server, target, () => {
				if (isAnswered) {
					node.loads.recordLimit(target.lifetime, server.getLimit());
					request.handleResult({type: 'answered'});
				} else {
					handleServerFailure(target, 'may-have-run');
				}
			});
		});
	};

	const requestSlot = (server: ModelServer, target: Candidate, mayWaitMs: number): void => {
		if (listActiveDisturbances('shedding').some(shedding => shedding.service === kind.service && random() < shedding.share)) {
			sendAnswer(server, target, () => {
				handleServerFailure(target, 'turned-away');
			});
			return;
		}

		server.requestSlot({
			rank: computeRank(route, {isNestedCall}),
			mayWaitMs,
			workspace: policy.areSharesKept ? kind.workspace : undefined,
			deadlineAt: events.getNow() + getLeftMs(),
			run(handleFinish) {
				if (kind.workspace !== undefined) {
					node.loads.shareRefusals.recordGrant(kind.workspace);
				}

				run(server, target, handleFinish);
			},
			handleFull(retryAfterMs, cause) {
				sendAnswer(server, target, () => {
					if (cause === 'over-share') {
						node.loads.shareRefusals.record(kind.workspace!, events.getNow());
					}

					handleFull(target, mayWaitMs, retryAfterMs);
				});
			},
			handleLimited(retryAfterMs) {
				sendAnswer(server, target, () => {
					handleLimited(target, mayWaitMs, retryAfterMs);
				});
			},
		});
	};

	const send = (target: Candidate, mayWaitMs: number): void => {
		const server = servers.find(({id}) => id === target.id)!;
		node.loads.recordStart(target.lifetime);
		events.schedule(simulation.getOneWayMs(request.node, server.node), () => {
			requestSlot(server, target, mayWaitMs);
		});
	};

	events.schedule(simulation.pattern.forwardingMs, tryNextGate);
}
