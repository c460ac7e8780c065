/**
 * Ranks routes for when there is not room for all requests.
 *
 * @module
 */
import {type RouteRule} from '../route-config/route-config.js';

/** Ranks of two priorities never overlap: no objective is longer than this. Milliseconds. */
const ranksPerPriority = 1_000_000;

/**
 * Ranks a route: by the operators' priority, and among equals by the shorter
 * latency objective. Calls that backend servers make have the shortest ones;
 * while they wait, the slots of those who called stay taken.
 *
 * @param route - The route.
 * @returns Its rank; the lowest goes first.
 * @internal
 */
export function computeRank(route: RouteRule): number {
	return (route.priority * ranksPerPriority) + Math.min(ranksPerPriority - 1, Math.round(route.targetLatencyMs));
}
