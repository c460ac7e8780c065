/**
 * Ranks routes, to decide which requests get a slot first under overload.
 *
 * @module
 */
import {type RouteRule} from '../route-config/route-config.js';

/** Distance between the ranks of two priorities. No latency objective is longer than this in milliseconds, so ranks of two priorities never overlap. */
const ranksPerPriority = 1_000_000;

/**
 * Ranks a route by the operators' priority, then by its latency objective, shorter
 * ones first. Nested calls of backend servers have the shortest objectives; while they
 * wait, the slots of their callers stay in use.
 *
 * @param route - The route.
 * @param workspacePriority - Priority of the caller's workspace, which takes precedence over the route's; `undefined` if it has none.
 * @returns Its rank; lower ranks go first.
 * @internal
 */
export function computeRank(route: Pick<RouteRule, 'priority' | 'targetLatencyMs'>, workspacePriority?: number): number {
	return ((workspacePriority ?? route.priority) * ranksPerPriority) + Math.min(ranksPerPriority - 1, Math.round(route.targetLatencyMs));
}
