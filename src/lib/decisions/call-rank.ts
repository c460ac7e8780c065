/**
 * Ranks requests, to decide which ones get a slot first under overload.
 *
 * @module
 */
import {type RouteRule} from '../route-config/route-config.js';
import {ranksPerPriority} from './priority-admission.js';

/** What a rank depends on besides the route. @internal */
export type RankedCall = {
	/** Priority of the caller's workspace, which takes precedence over the route's; `undefined` if it has none. */
	readonly workspacePriority?: number | undefined;
	/** Whether a backend server made the call and holds a slot until it is answered. */
	readonly isNestedCall: boolean;
};

/** Ranks of nested calls are a thousandth of their objectives, so they are lower than those of the most urgent requests, whose objectives are far longer than a thousandth of any other. */
const nestedRankShare = 0.001;

/**
 * Ranks a request by the operators' priority, then by the latency objective, shorter
 * ones first. Nested calls of backend servers go before all others: while they
 * wait, the slots of their callers stay in use.
 *
 * @param route - The route.
 * @param call - The caller of the request.
 * @returns Its rank; lower ranks go first.
 * @internal
 */
export function computeRank(route: Pick<RouteRule, 'priority' | 'targetLatencyMs'>, {workspacePriority, isNestedCall}: RankedCall): number {
	const objectiveMs = Math.min(ranksPerPriority - 1, Math.round(route.targetLatencyMs));
	return isNestedCall ? objectiveMs * nestedRankShare : ((workspacePriority ?? route.priority) * ranksPerPriority) + objectiveMs;
}
