/**
 * Decides how a request is handled: determines its route, the decision of its
 * policy and its pool, all from one version of the configuration.
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

/** How a request is forwarded. @internal */
export type CallPlan = {
	readonly route: Route;
	readonly pool: Pool;
	readonly decision: ForwardDecision;
	readonly version: number;
};

/** The mesh's own response to a request that is not forwarded and so not executed. @internal */
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
 * Decides how a request is handled.
 *
 * @param snapshot - The version in force when the request arrived. The whole call uses this version, even if a newer one is applied meanwhile.
 * @param request - The request.
 * @returns The plan, or the mesh's own response.
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
		return err(createRefusal(route.name, 500, 'broken-route', `route ${route.name} refers to a pool or policy that version ${configuration.version} does not contain`));
	}

	return decideRequest(policy, route, request).andThen((decision): Result<CallPlan, CallRefusal> => decision.action === 'refuse'
		? err(createRefusal(route.name, decision.status, 'refused', decision.reason))
		: ok({
			route, pool, decision, version: configuration.version,
		}));
}
