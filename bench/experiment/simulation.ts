/**
 * State that all parts of the model share: simulated time, random numbers, nodes,
 * servers and disturbances.
 *
 * @module
 */
import {randomLcg} from 'd3-random';
import {toBackendServerId, toNodeId, type NodeId} from '../../src/lib/common/ids.js';
import {toLifetimeKey} from '../../src/lib/common/server-lifetime.js';
import {createNestedCallDetector, type NestedCallDetector} from '../../src/lib/decisions/nested-call-detector.js';
import {createLoadView, type LoadView} from '../../src/lib/decisions/load-view.js';
import {createMeshRetryBudget, type MeshRetryBudget} from '../../src/lib/decisions/mesh-retry-budget.js';
import {createCallerRetryDetector, type CallerRetryDetector} from '../../src/lib/decisions/caller-retry-detector.js';
import {createSampleRoute} from '../../src/lib/route-config/sample-config.js';
import {type RouteRule} from '../../src/lib/route-config/route-config.js';
import {createDomainSeries, type DomainSeries} from './domain-series.js';
import {createEventQueue, type EventQueue} from './event-queue.js';
import {createModelServer, type ModelServer} from './model-server.js';
import {type Disturbance, type Pattern, type RequestKind} from './pattern.js';
import {type Policy} from './policy.js';
import {createOutcomeCounts, type OutcomeCounts} from './outcome-counts.js';

/** A node. It is beside the server with the same index. */
export type ModelNode = {
	readonly id: NodeId;
	readonly domain: string;
	readonly loads: LoadView;
	readonly nestedCalls: NestedCallDetector;
	readonly callerRetries: CallerRetryDetector;
	readonly retryBudget: MeshRetryBudget;
};

/** The servers of a service as a node sees them. */
export type NearServers = {
	readonly local: readonly ModelServer[];
	readonly ownDomain: readonly ModelServer[];
	readonly otherDomains: readonly ModelServer[];
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
	readonly series: DomainSeries;
	readonly nodes: readonly ModelNode[];
	readonly servers: readonly ModelServer[];
	/** Returns the servers of a service by their distance from a node. */
	readonly getServers: (node: number, service: string) => NearServers;
	readonly getKind: (name: string) => RequestKind;
	readonly getRoute: (name: string) => RouteRule;
	/** Lists the disturbances of a type that are active at the current time. */
	readonly listActiveDisturbances: <Type extends Disturbance['type']>(type: Type) => ReadonlyArray<DisturbanceOf<Type>>;
	/** Returns whether a disturbance affects a server. It affects the first servers of the service, up to its share. */
	readonly isAffected: (disturbance: {readonly service: string; readonly share: number}, server: ModelServer) => boolean;
	/** Returns the one-way latency between two nodes. */
	readonly getOneWayMs: (from: number, to: number) => number;
	/** Returns the factor by which the VM of a server takes longer at a time. */
	readonly getSlowness: (node: number, at: number) => number;
	/** Returns the time at which the slowness of the VMs is next drawn anew. */
	readonly getNextChange: (at: number) => number;
};

/** Retry budget of the order of production settings. */
const retryBudgetLimits = {ratio: 0.2, slack: 60, windowMs: 10_000} as const;

/** One-way latency on one VM, and within a failure domain. */
const localOneWayMs = 0.1;

function createRoute(kind: RequestKind): RouteRule {
	return createSampleRoute({
		type: kind.type ?? (kind.isRetryable ? 'safe' : 'unsafe'), name: kind.name, targetLatencyMs: kind.targetLatencyMs, timeoutMs: kind.timeoutMs, priority: kind.priority, services: [{service: kind.service, weight: 1}], maxAttempts: 2,
	});
}

/** Draws which VMs are slow in each period; independent of what the rules do, so that all rules get the same VMs. */
function createSharedVms({sharedVms, durationMs}: Pattern, nodeCount: number, seed: number): Pick<Simulation, 'getSlowness' | 'getNextChange'> {
	if (sharedVms === undefined) {
		return {getSlowness: () => 1, getNextChange: () => Number.POSITIVE_INFINITY};
	}

	const {share, factor, everyMs} = sharedVms;
	const random = randomLcg((seed + 0.5) / seedDivisor);
	const periods = Math.ceil(durationMs / everyMs);
	const draws = Array.from({length: periods}, () => Array.from({length: nodeCount}, () => random() < share ? factor : 1));
	const getPeriod = (at: number): number => Math.floor(at / everyMs);
	return {
		getSlowness: (node, at) => draws[getPeriod(at) % periods]![node]!,
		getNextChange: at => (getPeriod(at) + 1) * everyMs,
	};
}

/** Converts integer seeds to the range from 0 to 1 that the generator expects. */
const seedDivisor = 1000;

/**
 * @param pattern - The load, the servers and their disturbances.
 * @param policy - The rules of the nodes.
 * @param seed - The seed of all random numbers.
 * @returns A simulation at time 0, without events.
 */
export function createSimulation(pattern: Pattern, policy: Policy, seed: number): Simulation {
	const events = createEventQueue();
	const kinds = new Map(pattern.kinds.map(kind => [kind.name, kind]));
	const routes = new Map(pattern.kinds.map(kind => [kind.name, createRoute(kind)]));
	const serverPlans = pattern.services.flatMap(service => service.speeds.map(speed => ({service, speed})));
	const nodes: readonly ModelNode[] = serverPlans.map((_, index) => ({
		id: toNodeId(`n${index}`), domain: `d${index % pattern.domains}`, loads: createLoadView(), nestedCalls: createNestedCallDetector(), callerRetries: createCallerRetryDetector(),
		retryBudget: createMeshRetryBudget(() => retryBudgetLimits, () => serverPlans.length),
	}));
	const listActiveDisturbances: Simulation['listActiveDisturbances'] = <Type extends Disturbance['type']>(type: Type) => {
		const now = events.getNow();
		return pattern.disturbances.filter((disturbance): disturbance is DisturbanceOf<Type> => disturbance.type === type && now >= disturbance.fromMs && now < disturbance.toMs);
	};

	const isAffected: Simulation['isAffected'] = ({service, share}, server) => {
		const serviceServers = servers.filter(other => other.service === service);
		return server.service === service && serviceServers.indexOf(server) < serviceServers.length * share;
	};

	const sharedVms = createSharedVms(pattern, serverPlans.length, seed);
	const servers: readonly ModelServer[] = serverPlans.map(({service, speed}, node) => createModelServer({
		id: toBackendServerId(`s${node}`), lifetime: toLifetimeKey({id: toBackendServerId(`s${node}`), startedAt: 0}), service: service.name, node, slots: service.slots, speed,
		linkMbps: pattern.linkMbps === undefined ? 0 : pattern.linkMbps[node % pattern.linkMbps.length]!,
		getSlowness: () => pattern.hasLoadReports === true && policy.usesLoadReports ? sharedVms.getSlowness(node, events.getNow()) : undefined,
		getLimit: () => listActiveDisturbances('limited').find(disturbance => isAffected(disturbance, servers[node]!))?.perSecond,
	}, events, policy));

	const nearServers = new Map<string, NearServers>();
	const listNear = (node: number, service: string): NearServers => {
		const ofService = servers.filter(server => server.service === service);
		const isNear = (server: ModelServer): boolean => nodes[server.node]!.domain === nodes[node]!.domain;
		return {
			local: ofService.filter(server => server.node === node),
			ownDomain: ofService.filter(server => server.node !== node && isNear(server)),
			otherDomains: ofService.filter(server => !isNear(server)),
		};
	};

	return {
		pattern, policy, events, nodes, servers,
		series: createDomainSeries(node => nodes[node]!.domain),
		random: randomLcg(seed / seedDivisor),
		counts: createOutcomeCounts(pattern.kinds.map(({name}) => name)),
		getServers(node, service) {
			const key = `${node} ${service}`;
			const found = nearServers.get(key) ?? listNear(node, service);
			nearServers.set(key, found);
			return found;
		},
		getKind: name => kinds.get(name)!,
		getRoute: name => routes.get(name)!,
		listActiveDisturbances,
		isAffected,
		...sharedVms,
		getOneWayMs(from, to) {
			if (from === to) {
				return localOneWayMs;
			}

			return pattern.forwardingMs + (nodes[from]!.domain === nodes[to]!.domain ? localOneWayMs : pattern.crossDomainOneWayMs);
		},
	};
}
