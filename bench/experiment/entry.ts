/**
 * Simulates the entry node of a request: it sends the request to gates until one
 * answers, or until the decision functions of the nodes refuse it.
 *
 * @module
 */
import {toAddress, toFailureDomain} from '../../src/lib/common/ids.js';
import {computeRank} from '../../src/lib/decisions/call-rank.js';
import {mayTryAnotherGate, planAttempt, type CallState} from '../../src/lib/decisions/plan-attempt.js';
import {type Candidate} from '../../src/lib/decisions/rank-servers.js';
import {listSample} from '../../src/lib/decisions/list-sample.js';
import {type RetryReason} from '../../src/lib/decisions/mesh-retry-budget.js';
import {isBulk} from '../../src/lib/route-config/route-config.js';
import {computeMaxResponseWaitMs} from '../../src/lib/decisions/link-demand.js';
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

const gate = toAddress('10.0.0.1:1');

/** Lists the servers that an entry node may choose, sampled as real nodes do. */
function listCandidates({getServers, policy, nodes, events, random, listActiveDisturbances, isAffected}: Simulation, node: number, kind: RequestKind): readonly Candidate[] {
	const now = events.getNow();
	const goneDisturbances = listActiveDisturbances('gone');
	const lostDomains = new Set(listActiveDisturbances('domain-lost').map(({domain}) => `d${domain}`));
	const own = nodes[node]!;

	const describe = (server: ModelServer): Candidate | undefined => {
		const {domain} = nodes[server.node]!;
		if (lostDomains.has(domain) || goneDisturbances.some(disturbance => isAffected(disturbance, server))) {
			return undefined;
		}

		const isLocal = server.node === node;
		const view = own.loads.get(server.lifetime, kind.name, now);
		const {slowness = 1, ...load} = server.getLoad();
		return {
			id: server.id, lifetime: server.lifetime, node: nodes[server.node]!.id, gate, domain: toFailureDomain(domain), isLocal, slots: server.slots, reservedSlots: domain === own.domain ? 0 : policy.countReservedSlots(server.slots, view), isCold: false,
			view: isLocal
				? {
					...view, leastUrgent: undefined, waitingByPriority: undefined, ...load, serviceMs: load.serviceMs * slowness, ownInFlight: 0, ownInFlightAtReport: 0, reportedAt: now,
				}
				: view,
		};
	};

	const {local, ownDomain, otherDomains} = getServers(node, kind.service);
	const listNear = (list: readonly ModelServer[]): readonly Candidate[] => listSample(list, describe, random, now);
	return [
		...listNear(local),
		...listNear(ownDomain),
		...listNear(otherDomains),
	];
}

/**
 * Sends a request from its entry node until it is answered, refused or failed.
 *
 * @param simulation - The simulation.
 * @param request - The request.
 * @param runAtServer - Runs the request once it has a slot.
 */
export function sendEntryRequest(simulation: Simulation, request: EntryRequest, runAtServer: RunAtServer): void {
	const {policy, events, random, servers, nodes, listActiveDisturbances} = simulation;
	const {kind} = request;
	const node = simulation.nodes[request.node]!;
	const route = simulation.getRoute(kind.name);
	const receivedAt = events.getNow();
	const isNestedCall = policy.areCallsKnown && node.nestedCalls.recordCall(kind.service, kind.name, kind.targetLatencyMs);
	const ageMs = isNestedCall ? 0 : node.callerRetries.recordCall(kind.name, request.leftMs);
	const history = {tried: new Set<Candidate['lifetime']>(), full: new Set<Candidate['lifetime']>(), refusals: 0};
	let serverAttempts = 0;
	let limitRefusals = 0;
	let slowRefusals = 0;
	let minimumWaitMs = Number.POSITIVE_INFINITY;
	node.retryBudget.recordRequest(kind.service, isNestedCall, receivedAt);

	const getLeftMs = (): number => Math.min(request.leftMs, kind.timeoutMs) - (events.getNow() - receivedAt);

	const refuse = (waitMs: number, isOverloaded: boolean): void => {
		request.handleResult({type: 'refused', retryAfterMs: policy.computeRetryDelayMs({waitMs: Math.min(minimumWaitMs, waitMs), targetLatencyMs: kind.targetLatencyMs, isOverloaded}, random)});
	};

	const getCallState = (): CallState => ({
		targetLatencyMs: kind.targetLatencyMs, ageMs: ageMs + events.getNow() - receivedAt, leftMs: getLeftMs(), isNestedCall, isBulk: isBulk(route.type), priority: isNestedCall ? 0 : kind.priority,
		isOverShare: policy.areSharesKept && kind.workspace !== undefined && node.loads.shareRefusals.isOverShare(kind.workspace, events.getNow()),
	});

	const tryNextGate = (): void => {
		if (request.isFinished) {
			return;
		}

		const callState = getCallState();
		const ranked = policy.rank(listCandidates(simulation, request.node, kind), {domain: toFailureDomain(node.domain), random, ...policy.computeThresholds(route, isNestedCall, callState.ageMs)});
		const plan = planAttempt(callState, history, ranked, {...policy, random}, events.getNow());
		if (plan.type !== 'send') {
			const isOverloaded = plan.type === 'refuse' || plan.type === 'hold-back' || plan.type === 'over-share';
			refuse(isOverloaded ? plan.waitMs : 0, isOverloaded);
			return;
		}

		send(plan.target, plan.mayWaitMs);
	};

	/** Sends the answer of a gate to the entry node, with the load of the server. */
	const sendAnswer = (server: ModelServer, target: Candidate, linkMs: number, handle: () => void): void => {
		const oneWayMs = simulation.getOneWayMs(server.node, request.node) + linkMs;
		const load = server.getLoad();
		events.schedule(oneWayMs, () => {
			node.loads.recordEnd(target.lifetime);
			node.loads.recordReport(target.lifetime, load, events.getNow());
			node.loads.recordRoundTrip(target.lifetime, kind.name, (oneWayMs * 2) - linkMs);
			handle();
		});
	};

	const handleFull = (target: Candidate, mayWaitMs: number, retryAfterMs: number): void => {
		minimumWaitMs = Math.min(minimumWaitMs, retryAfterMs);
		history.refusals++;
		(mayWaitMs === 0 ? history.full : history.tried).add(target.lifetime);
		if (mayTryAnotherGate({isBulk: isBulk(route.type)}, history.refusals)) {
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
		simulation.series.recordRun(request.node, server.node);
		runAtServer(request, server, isAnswered => {
			handleFinish(isAnswered);
			if (isAnswered && nodes[server.node]!.domain !== node.domain) {
				simulation.counts.get(kind.name)!.crossDomainBytes += kind.bytes ?? 0;
			}

			const linkMs = isAnswered && kind.type === 'download' && !target.isLocal ? server.sendLarge(kind.bytes ?? 0) : 0;
			sendAnswer(server, target, linkMs, () => {
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
			sendAnswer(server, target, 0, () => {
				handleServerFailure(target, 'turned-away');
			});
			return;
		}

		server.requestSlot({
			maxSlowness: target.isLocal ? undefined : policy.computeMaxSlowness(target.view, slowRefusals, events.getNow()),
			handleSlow() {
				sendAnswer(server, target, 0, () => {
					slowRefusals++;
					tryNextGate();
				});
			},
			rank: computeRank(route, {isNestedCall}),
			mayWaitMs,
			workspace: policy.areSharesKept ? kind.workspace : undefined,
			deadlineAt: events.getNow() + getLeftMs(),
			largeResponse: kind.type === 'download' && !target.isLocal ? {bytes: kind.bytes ?? 0, mayWaitMs: computeMaxResponseWaitMs(getCallState(), target)} : undefined,
			run(handleFinish) {
				if (kind.workspace !== undefined) {
					node.loads.shareRefusals.recordGrant(kind.workspace);
				}

				run(server, target, handleFinish);
			},
			handleFull(retryAfterMs, cause) {
				sendAnswer(server, target, 0, () => {
					if (cause === 'over-share') {
						node.loads.shareRefusals.record(kind.workspace!, events.getNow());
					}

					handleFull(target, mayWaitMs, retryAfterMs);
				});
			},
			handleLimited(retryAfterMs) {
				sendAnswer(server, target, 0, () => {
					handleLimited(target, mayWaitMs, retryAfterMs);
				});
			},
		});
	};

	const send = (target: Candidate, mayWaitMs: number): void => {
		const server = servers.find(({lifetime}) => lifetime === target.lifetime)!;
		node.loads.recordStart(target.lifetime);
		events.schedule(simulation.getOneWayMs(request.node, server.node), () => {
			requestSlot(server, target, mayWaitMs);
		});
	};

	events.schedule(simulation.pattern.forwardingMs, tryNextGate);
}
