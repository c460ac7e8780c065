/**
 * Chooses the backend server of an attempt: the better of two random ones, in
 * this failure domain while it has room.
 *
 * @module
 */
import {type BackendServerId, type FailureDomain} from '../common/ids.js';
import {type Pool} from '../configuration/item.js';
import {type DirectoryServer} from '../directory/directory.js';
import {type ServerLoad} from './server-load.js';

/** What a choice is made from. @internal */
export type ChoiceContext = {
	readonly servers: readonly DirectoryServer[];
	readonly pool: Pool;
	readonly domain: FailureDomain;
	/** Servers that this request was sent to before. */
	readonly tried: ReadonlySet<BackendServerId>;
	/** Whether a tried server may be chosen when there is no other. */
	readonly mayReuse: boolean;
	readonly getLoad: (id: BackendServerId) => ServerLoad;
	readonly now: number;
	readonly random: () => number;
};

/** Below this share of servers that look sound, the view is doubted and all are used. */
const panicThresholdShare = 0.5;

/** A server that has just come up gets this share of its load at first. */
const slowStartMinimumShare = 0.1;

/** A gate's report says little after this many milliseconds. */
const reportValidityMs = 1000;

/** How many times slower a server must be for that to count. */
const minimumSlowLatencyRatio = 3;

/** Latency that was not seen again for so many milliseconds is forgotten, so that a server that has recovered is tried. */
const latencyValidityMs = 10_000;

/** A server with this share of its slots in use has no room. */
const fullLoadScore = 1;

/**
 * Judges how busy a server is.
 *
 * @param entry - The server.
 * @param context - What is known.
 * @returns Requests for each slot; a cold server counts as busier than it is.
 * @internal
 */
export function computeLoadScore(entry: DirectoryServer, context: ChoiceContext): number {
	const load = context.getLoad(entry.server.id);
	const isFresh = context.now - load.reportedAt < reportValidityMs;
	const requests = Math.max(load.inFlight, isFresh ? load.reportedRequests : 0);
	const age = context.now - load.firstSeenAt;
	const slowStartShare = context.pool.slowStartMs === 0 ? 1 : Math.min(1, Math.max(slowStartMinimumShare, age / context.pool.slowStartMs));
	// One is added so that of two idle servers the warmer one is less busy.
	return (requests + 1) / Math.max(1, entry.server.slots) / slowStartShare;
}

function chooseOfTwo(servers: readonly DirectoryServer[], context: ChoiceContext): DirectoryServer | undefined {
	const firstIndex = Math.floor(context.random() * servers.length);
	const first = servers[firstIndex];
	// The second draw is from the others: the same one drawn twice would be chosen however bad it is.
	const step = 1 + Math.floor(context.random() * (servers.length - 1));
	const second = servers[(firstIndex + step) % servers.length];
	if (first === undefined || second === undefined) {
		return first ?? second;
	}

	return chooseFaster(first, second, context) ?? (computeLoadScore(first, context) <= computeLoadScore(second, context) ? first : second);
}

/** @returns What is known of a server's latency lately, in milliseconds; `undefined` if nothing is. */
function getLatency(entry: DirectoryServer, context: ChoiceContext): number | undefined {
	const {latencyMs, latencyAt} = context.getLoad(entry.server.id);
	return latencyMs === 0 || context.now - latencyAt > latencyValidityMs ? undefined : latencyMs;
}

/** A server that is many times slower than another shows no load while its requests time out, so latency speaks first where it differs that much. */
function chooseFaster(first: DirectoryServer, second: DirectoryServer, context: ChoiceContext): DirectoryServer | undefined {
	const firstMs = getLatency(first, context);
	const secondMs = getLatency(second, context);
	if (firstMs === undefined || secondMs === undefined || Math.max(firstMs, secondMs) < Math.min(firstMs, secondMs) * minimumSlowLatencyRatio) {
		return undefined;
	}

	const faster = firstMs < secondMs ? first : second;
	return computeLoadScore(faster, context) <= fullLoadScore ? faster : undefined;
}

function listHealthy(context: ChoiceContext): readonly DirectoryServer[] {
	const notDraining = context.servers.filter(({server}) => !server.isDraining);
	const isEjected = ({server}: DirectoryServer): boolean => context.getLoad(server.id).ejectedUntil > context.now;
	const healthy = notDraining.filter(entry => !isEjected(entry) && entry.node.status === 'alive');
	// When most of a pool looks dead, it is more likely that this node sees badly.
	return healthy.length < notDraining.length * panicThresholdShare ? notDraining : healthy;
}

/**
 * Chooses a server.
 *
 * @param context - What the choice is made from.
 * @returns The server, or `undefined` if the pool has none that may be chosen.
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
