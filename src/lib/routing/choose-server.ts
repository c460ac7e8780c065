/**
 * Chooses the backend server of an attempt by power of two choices: the better
 * of two random candidates. If the pool is local first, servers of this failure
 * domain are preferred while they have free slots.
 *
 * @module
 */
import {type BackendServerId, type FailureDomain} from '../common/ids.js';
import {type Pool} from '../configuration/item.js';
import {type DirectoryServer} from '../directory/directory.js';
import {type ServerLoad} from './server-load.js';

/** Input of a choice. @internal */
export type ChoiceContext = {
	readonly servers: readonly DirectoryServer[];
	readonly pool: Pool;
	readonly domain: FailureDomain;
	/** Servers to which this request has already been sent. */
	readonly tried: ReadonlySet<BackendServerId>;
	/** Whether a tried server may be chosen again if there is no other. */
	readonly mayReuse: boolean;
	readonly getLoad: (id: BackendServerId) => ServerLoad;
	readonly now: number;
	readonly random: () => number;
};

/** If the share of healthy servers is smaller than this, health is ignored and all servers that are not draining are candidates. */
const panicThresholdShare = 0.5;

/** Share of its normal load that a server gets at the beginning of slow start. */
const slowStartMinimumShare = 0.1;

/** Age up to which the load reported by a gate is used. */
const reportValidityMs = 1000;

/** Ratio of the latencies of two servers from which the faster one is chosen regardless of load, if it has a free slot. */
const minimumSlowLatencyRatio = 3;

/** Age up to which a latency is used. Older ones are ignored, so that a server that has recovered gets requests again. */
const latencyValidityMs = 10_000;

/** A server with a higher load score has no free slot for the request. */
const fullLoadScore = 1;

/**
 * Computes the load score of a server.
 *
 * @param entry - The server.
 * @param context - The input of the choice.
 * @returns Requests per slot, including the one to send. During slow start, the score is higher.
 * @internal
 */
export function computeLoadScore(entry: DirectoryServer, context: ChoiceContext): number {
	const load = context.getLoad(entry.server.id);
	const isFresh = context.now - load.reportedAt < reportValidityMs;
	const requests = Math.max(load.inFlight, isFresh ? load.reportedRequests : 0);
	const age = context.now - load.firstSeenAt;
	const slowStartShare = context.pool.slowStartMs === 0 ? 1 : Math.min(1, Math.max(slowStartMinimumShare, age / context.pool.slowStartMs));
	// Counting the request to send gives idle servers a score above 0. Of two idle servers, the one further in its slow start has the lower score.
	return (requests + 1) / Math.max(1, entry.server.slots) / slowStartShare;
}

function chooseOfTwo(servers: readonly DirectoryServer[], context: ChoiceContext): DirectoryServer | undefined {
	const firstIndex = Math.floor(context.random() * servers.length);
	const first = servers[firstIndex];
	// The second candidate is drawn from the others. If the same server were drawn twice, it would be chosen regardless of its load.
	const step = 1 + Math.floor(context.random() * (servers.length - 1));
	const second = servers[(firstIndex + step) % servers.length];
	if (first === undefined || second === undefined) {
		return first ?? second;
	}

	return chooseFaster(first, second, context) ?? (computeLoadScore(first, context) <= computeLoadScore(second, context) ? first : second);
}

/** Returns the average latency of a server in milliseconds, `undefined` if there is no recent one. */
function getLatency(entry: DirectoryServer, context: ChoiceContext): number | undefined {
	const {latencyMs, latencyAt} = context.getLoad(entry.server.id);
	return latencyMs === 0 || context.now - latencyAt > latencyValidityMs ? undefined : latencyMs;
}

/**
 * Returns the faster of two servers if their latencies differ widely and it has a free slot, `undefined` otherwise.
 * Latency is compared before load because a server whose requests time out shows no load.
 */
function chooseFaster(first: DirectoryServer, second: DirectoryServer, context: ChoiceContext): DirectoryServer | undefined {
	const firstMs = getLatency(first, context);
	const secondMs = getLatency(second, context);
	if (firstMs === undefined || secondMs === undefined || Math.max(firstMs, secondMs) < Math.min(firstMs, secondMs) * minimumSlowLatencyRatio) {
		return undefined;
	}

	const faster = firstMs < secondMs ? first : second;
	return computeLoadScore(faster, context) <= fullLoadScore ? faster : undefined;
}

/** Returns whether a server has said that it leaves. If only its start time is another, a new lifetime has replaced it; if the node beside it restarted, that node has set the start time anew. */
function isLeaving({server, node}: DirectoryServer, {getLoad}: ChoiceContext): boolean {
	const {leaving} = getLoad(server.id);
	return leaving !== undefined && (leaving.startedAt === server.startedAt || leaving.epoch !== node.epoch);
}

function listHealthy(context: ChoiceContext): readonly DirectoryServer[] {
	const notDraining = context.servers.filter(entry => !entry.server.isDraining && !isLeaving(entry, context));
	const isEjected = ({server}: DirectoryServer): boolean => context.getLoad(server.id).ejectedUntil > context.now;
	const healthy = notDraining.filter(entry => !isEjected(entry) && entry.node.status === 'alive');
	// If most of a pool looks unhealthy, this node's own observations are probably wrong, so ignore health.
	const candidates = healthy.length < notDraining.length * panicThresholdShare ? notDraining : healthy;
	// A server whose limit is used up is healthy, and would refuse the request.
	return candidates.filter(({server}) => context.getLoad(server.id).limitedUntil <= context.now);
}

/**
 * Chooses a server.
 *
 * @param context - The input of the choice.
 * @returns The server, or `undefined` if there is no candidate.
 * @internal
 */
export function chooseServer(context: ChoiceContext): DirectoryServer | undefined {
	const healthy = listHealthy(context);
	const untried = healthy.filter(({server}) => !context.tried.has(server.id));
	const usable = untried.length === 0 && context.mayReuse ? healthy : untried;
	if (!context.pool.isLocalFirst) {
		return chooseOfTwo(usable, context);
	}

	const local = usable.filter(entry => entry.node.failureDomain === context.domain && computeLoadScore(entry, context) <= fullLoadScore);
	return chooseOfTwo(local.length > 0 ? local : usable, context);
}
