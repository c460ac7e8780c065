/**
 * What all parts of the model share: time, chance, nodes, servers and what is
 * going wrong.
 *
 * @module
 */
import {randomLcg} from 'd3-random';
import {createNestedCallDetector, type NestedCallDetector} from '../../src/lib/decisions/nested-call-detector.js';
import {createLoadView, type LoadView} from '../../src/lib/decisions/load-view.js';
import {createMeshRetryBudget, type MeshRetryBudget} from '../../src/lib/decisions/mesh-retry-budget.js';
import {createCallerRetryDetector, type CallerRetryDetector} from '../../src/lib/decisions/caller-retry-detector.js';
import {createSampleRoute} from '../../src/lib/route-config/sample-config.js';
import {type RouteRule} from '../../src/lib/route-config/route-config.js';
import {createEventQueue, type EventQueue} from './event-queue.js';
import {createModelServer, type ModelServer} from './model-server.js';
import {type Disturbance, type Pattern, type RequestKind} from './pattern.js';
import {type Policy} from './policy.js';
import {createOutcomeCounts, type OutcomeCounts} from './outcome-counts.js';

/** One node, beside the server of the same place in the list. */
export type ModelNode = {
	readonly domain: string;
	readonly loads: LoadView;
	readonly nestedCalls: NestedCallDetector;
	readonly callerRetries: CallerRetryDetector;
	readonly retryBudget: MeshRetryBudget;
};

/** Disturbances of one type. */
export type DisturbanceOf<Type extends Disturbance['type']> = Extract<Disturbance, {readonly type: Type}>;

/** @internal */
export type Simulation = {
	readonly pattern: Pattern;
	readonly policy: Policy;
	readonly events: EventQueue;
	readonly random: () => number;
	readonly counts: OutcomeCounts;
	readonly nodes: readonly ModelNode[];
	readonly servers: readonly ModelServer[];
	readonly getKind: (name: string) => RequestKind;
	readonly getRoute: (name: string) => RouteRule;
	/** Those that go on now. */
	readonly listActiveDisturbances: <Type extends Disturbance['type']>(type: Type) => ReadonlyArray<DisturbanceOf<Type>>;
	/** Whether a disturbance of a share of a service's servers meets this disturbance: the first ones in their order. */
	readonly isAffected: (disturbance: {readonly service: string; readonly share: number}, server: ModelServer) => boolean;
	/** One way between two nodes, in milliseconds. */
	readonly getOneWayMs: (from: number, to: number) => number;
};

/** What operators allow to be sent again, of the order of what users have. */
const retryBudgetLimits = {ratio: 0.2, slack: 60, windowMs: 10_000} as const;

/** One way on one VM, and within a failure domain, in milliseconds. */
const localOneWayMs = 0.1;

function createRoute(kind: RequestKind): RouteRule {
	return createSampleRoute({
		name: kind.name, targetLatencyMs: kind.targetLatencyMs, timeoutMs: kind.timeoutMs, priority: kind.priority, services: [{service: kind.service, weight: 1}], maxAttempts: 2,
	});
}

/** Seeds are whole numbers; the generator takes numbers from 0 to 1. */
const seedDivisor = 1000;

/**
 * @param pattern - What comes.
 * @param policy - What decides.
 * @param seed - Of everything random.
 * @returns A world in which nothing has happened yet.
 */
export function createSimulation(pattern: Pattern, policy: Policy, seed: number): Simulation {
	const events = createEventQueue();
	const kinds = new Map(pattern.kinds.map(kind => [kind.name, kind]));
	const routes = new Map(pattern.kinds.map(kind => [kind.name, createRoute(kind)]));
	const serverPlans = pattern.services.flatMap(service => service.speeds.map(speed => ({service, speed})));
	const nodes: readonly ModelNode[] = serverPlans.map((_, index) => ({
		domain: `d${index % pattern.domains}`, loads: createLoadView(), nestedCalls: createNestedCallDetector(), callerRetries: createCallerRetryDetector(),
		retryBudget: createMeshRetryBudget(() => retryBudgetLimits, () => serverPlans.length),
	}));
	const servers = serverPlans.map(({service, speed}, node) => createModelServer({
		id: `s${node}`, service: service.name, node, slots: service.slots, speed,
	}, events, policy.maximumWaitFactor));

	return {
		pattern, policy, events, nodes, servers,
		random: randomLcg(seed / seedDivisor),
		counts: createOutcomeCounts(pattern.kinds.map(({name}) => name)),
		getKind: name => kinds.get(name)!,
		getRoute: name => routes.get(name)!,
		listActiveDisturbances<Type extends Disturbance['type']>(type: Type): ReadonlyArray<DisturbanceOf<Type>> {
			const now = events.getNow();
			return pattern.disturbances.filter((disturbance): disturbance is DisturbanceOf<Type> => disturbance.type === type && now >= disturbance.fromMs && now < disturbance.toMs);
		},
		isAffected({service, share}, server) {
			const serviceServers = servers.filter(other => other.service === service);
			return server.service === service && serviceServers.indexOf(server) < serviceServers.length * share;
		},
		getOneWayMs(from, to) {
			if (from === to) {
				return localOneWayMs;
			}

			return pattern.forwardingMs + (nodes[from]!.domain === nodes[to]!.domain ? localOneWayMs : pattern.crossDomainOneWayMs);
		},
	};
}
