/**
 * Decides what becomes of a request: its route, its policy's decision and its
 * pool, all from one version of the configuration.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {getItem} from '../configuration/configuration.js';
import {
	type Item, type Policy, type Pool, type Route,
} from '../configuration/item.js';
import {getCompiledPolicy} from '../policy/compile-policy.js';
import {type Decision, type ForwardDecision} from '../policy/decision.js';
import {type RequestAttributes} from '../policy/request-attributes.js';
import {type RoutingSnapshot} from '../routing/routing-snapshot.js';
import {findRoute} from '../routing/routing-table.js';
import {type ProblemResponse} from './problem-response.js';

/** A request that is to be forwarded. @internal */
export type CallPlan = {
	readonly route: Route;
	readonly pool: Pool;
	readonly decision: ForwardDecision;
	readonly version: number;
};

/** A request that the mesh answers itself. It has not run. @internal */
export type CallRefusal = ProblemResponse & {readonly route: string};

function createRefusal(route: string, status: number, reason: string, detail: string): CallRefusal {
	return {
		route, status, reason, detail, verdict: 'not-run',
	};
}

function isPool(item: Item | undefined): item is Pool {
	return item?.kind === 'pool';
}

function isPolicy(item: Item | undefined): item is Policy {
	return item?.kind === 'policy';
}

function decideRequest(policy: Policy, route: Route, request: RequestAttributes): Result<Decision, CallRefusal> {
	const compiled = getCompiledPolicy(policy);
	if (compiled === undefined) {
		return err(createRefusal(route.name, 500, 'policy-failed', `this node cannot compile policy ${policy.name}`));
	}

	return compiled.decide(request)
		.mapErr(problem => createRefusal(route.name, 500, 'policy-failed', `policy ${policy.name}, ${problem.field}: ${problem.message}`));
}

/**
 * Decides what becomes of a request.
 *
 * @param snapshot - The version in force when the request came; it stays with the request to its end.
 * @param request - The request.
 * @returns The plan, or the mesh's own answer.
 * @internal
 */
export function planCall(snapshot: RoutingSnapshot, request: RequestAttributes): Result<CallPlan, CallRefusal> {
	const {configuration, table} = snapshot;
	const route = findRoute(table, request);
	if (route === undefined) {
		return err(createRefusal('', 404, 'no-route', `no route of version ${configuration.version} matches ${request.method} ${request.host}${request.path}`));
	}

	const pool = getItem(configuration, `pool/${route.pool}`)?.item;
	const policy = getItem(configuration, `policy/${route.policy}`)?.item;
	if (!isPool(pool) || !isPolicy(policy)) {
		return err(createRefusal(route.name, 500, 'broken-route', `route ${route.name} refers to what version ${configuration.version} lacks`));
	}

	return decideRequest(policy, route, request).andThen((decision): Result<CallPlan, CallRefusal> => decision.action === 'refuse'
		? err(createRefusal(route.name, decision.status, 'refused', decision.reason))
		: ok({
			route, pool, decision, version: configuration.version,
		}));
}
