/**
 * Ranks routes for when there is not room for all requests.
 *
 * @module
 */
import {type RouteRule} from '../route-config/route-config.js';

/** Ranks of two priorities never overlap: no objective is longer than this. Milliseconds. */
const priorityStep = 1_000_000;

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
	return (route.priority * priorityStep) + Math.min(priorityStep - 1, Math.round(route.targetLatencyMs));
}

/** Ranks of routes are whole numbers, so that half a step keeps a call behind its own route and before the next. */
const returningStep = 0.5;

/**
 * Ranks a call. When there is not room for all, an answer to a caller that
 * comes for the first time is still in time, and one to a caller that was
 * refused before is late already: as many are served, and more of them in time,
 * if the newest go first.
 *
 * @param route - Its route.
 * @param isReturning - Whether its caller was refused before.
 * @returns Its rank; the lowest goes first.
 * @internal
 */
export function computeCallRank(route: RouteRule, isReturning: boolean): number {
	return computeRank(route) + (isReturning ? returningStep : 0);
}
