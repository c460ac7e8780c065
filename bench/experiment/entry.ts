/**
 * What a node does with a request, on simulated time: it asks gates until one
 * answers or the product's rules say that it is refused.
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
import {type ModelServer} from './model-server.js';
import {type RequestKind} from './pattern.js';
import {type World} from './world.js';

/** How a try ended for whoever made it. */
export type TryEnd =
	| {readonly type: 'answered'}
	| {readonly type: 'refused'; readonly comeBackMs: number}
	| {readonly type: 'failed'};

/** One try of a caller, or a call of a server. */
export type Try = {
	readonly kind: RequestKind;
	readonly node: number;
	readonly leftMs: number;
	readonly handleEnd: (end: TryEnd) => void;
	isOver: boolean;
};

/** Runs a request that holds a slot; calls back with whether it was answered. */
export type RunAtServer = (one: Try, server: ModelServer, handleRun: (isAnswered: boolean) => void) => void;

function listCandidates({servers, nodes, policy, events, findDisturbances, isMet}: World, node: number, kind: RequestKind): readonly Candidate[] {
	const gone = findDisturbances('gone');
	return servers.filter(server => server.service === kind.service && !gone.some(one => isMet(one, server))).map(server => {
		const id = toBackendServerId(server.id);
		const lifetime = toLifetimeKey({id, startedAt: 0});
		const view = nodes[node]!.loads.get(lifetime, kind.name);
		const isLocal = server.node === node;
		return {
			id, lifetime, node: toNodeId(`n${server.node}`), gate: toAddress('10.0.0.1:1'), domain: toFailureDomain(nodes[server.node]!.domain), isLocal, slots: server.slots, isCold: false,
			view: isLocal
				? {
					...view, ...server.describe(), ownInFlight: 0, ownInFlightAtReport: 0, reportedAt: events.getNow(),
				}
				: view,
		};
	});
}

/**
 * Sends a try.
 *
 * @param world - Where it is sent.
 * @param one - The try.
 * @param runAtServer - Runs it once it has a slot.
 */
export function sendTry(world: World, one: Try, runAtServer: RunAtServer): void {
	const {policy, events, random, servers, findDisturbances} = world;
	const {kind} = one;
	const node = world.nodes[one.node]!;
	const route = world.getRoute(kind.name);
	const receivedAt = events.getNow();
	const isAwaited = policy.areCallsKnown && node.awaited.recordCall(kind.service, kind.name, kind.targetLatencyMs);
	const ageMs = isAwaited ? 0 : node.returning.recordCall(kind.name, one.leftMs);
	const history = {tried: new Set<Candidate['lifetime']>(), full: new Set<Candidate['lifetime']>(), refusals: 0};
	let arrivals = 0;
	let soonestMs = Number.POSITIVE_INFINITY;
	node.allowance.recordRequest(kind.service, isAwaited, receivedAt);

	const measureLeft = (): number => Math.min(one.leftMs, kind.timeoutMs) - (events.getNow() - receivedAt);

	const refuse = (waitMs: number, isFull: boolean): void => {
		one.handleEnd({type: 'refused', comeBackMs: policy.computeComeBack({waitMs: Math.min(soonestMs, waitMs), targetLatencyMs: kind.targetLatencyMs, isOverloaded: isFull}, random)});
	};

	const describeFacts = (): CallState => ({
		targetLatencyMs: kind.targetLatencyMs, ageMs: ageMs + events.getNow() - receivedAt, leftMs: measureLeft(), isNestedCall: isAwaited, isBulk: false,
	});

	const step = (): void => {
		if (one.isOver) {
			return;
		}

		const facts = describeFacts();
		const ranked = rankServers(listCandidates(world, one.node, kind), {domain: toFailureDomain(node.domain), random, ...policy.computeDistances(route, isAwaited, facts.ageMs)});
		const plan = planAttempt(facts, history, ranked, policy, events.getNow());
		if (plan.type !== 'send') {
			refuse(plan.type === 'refuse' ? plan.waitMs : 0, plan.type === 'refuse');
			return;
		}

		send(plan.target, plan.mayWaitMs);
	};

	/** Brings an answer of a gate back, with how busy the server is. */
	const answer = (server: ModelServer, target: Candidate, handle: () => void): void => {
		const wayMs = world.getWayMs(server.node, one.node);
		events.schedule(wayMs, () => {
			node.loads.recordEnd(target.lifetime);
			node.loads.recordReport(target.lifetime, server.describe(), events.getNow());
			node.loads.recordRoundTrip(target.lifetime, kind.name, wayMs * 2);
			handle();
		});
	};

	const handleFull = (target: Candidate, mayWaitMs: number, retryAfterMs: number): void => {
		soonestMs = Math.min(soonestMs, retryAfterMs);
		history.refusals++;
		(mayWaitMs === 0 ? history.full : history.tried).add(target.lifetime);
		if (mayTryAnotherGate({isBulk: false}, history.refusals)) {
			step();
		} else {
			refuse(retryAfterMs, true);
		}
	};

	/** A server that was reached turned it away, or failed. */
	const handleArrival = (target: Candidate, reason: Exclude<RetryReason, 'call-turned-away'>): void => {
		arrivals++;
		history.tried.add(target.lifetime);
		const mayRepeat = kind.mayRepeat || reason === 'turned-away';
		const repeatReason = reason === 'turned-away' && isAwaited ? 'call-turned-away' : reason;
		if (mayRepeat && arrivals < route.maxAttempts && node.allowance.tryAcquire(kind.service, repeatReason, events.getNow())) {
			step();
		} else if (reason === 'turned-away') {
			refuse(0, false);
		} else {
			one.handleEnd({type: 'failed'});
		}
	};

	const run = (server: ModelServer, target: Candidate, handleEnd: (isAnswered: boolean) => void): void => {
		runAtServer(one, server, isAnswered => {
			handleEnd(isAnswered);
			answer(server, target, () => {
				if (isAnswered) {
					one.handleEnd({type: 'answered'});
				} else {
					handleArrival(target, 'may-have-run');
				}
			});
		});
	};

	const askServer = (server: ModelServer, target: Candidate, mayWaitMs: number): void => {
		if (findDisturbances('shedding').some(shedding => shedding.service === kind.service && random() < shedding.share)) {
			answer(server, target, () => {
				handleArrival(target, 'turned-away');
			});
			return;
		}

		server.ask({
			rank: computeRank(route),
			mayWaitMs,
			lastAt: events.getNow() + measureLeft(),
			run(handleEnd) {
				run(server, target, handleEnd);
			},
			handleFull(retryAfterMs) {
				answer(server, target, () => {
					handleFull(target, mayWaitMs, retryAfterMs);
				});
			},
		});
	};

	const send = (target: Candidate, mayWaitMs: number): void => {
		const server = servers.find(({id}) => id === target.id)!;
		node.loads.recordStart(target.lifetime);
		events.schedule(world.getWayMs(one.node, server.node), () => {
			askServer(server, target, mayWaitMs);
		});
	};

	events.schedule(world.pattern.passMs, step);
}
