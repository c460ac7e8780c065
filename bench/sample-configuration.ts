/**
 * Creates configurations of any size. Each service has a pool, a policy and a
 * route, as in production configurations.
 *
 * @module
 */
import {itemSchema, type Item} from '../src/index.js';

/** @returns The items of one service. */
export function createServiceItems(service: number): readonly Item[] {
	const name = `service-${service}`;
	return [
		{
			kind: 'policy',
			name,
			variables: [{name: 'key', expression: '"idempotency-key" in request.headers ? request.headers["idempotency-key"] : ""'}],
			decision: `request.method == "GET" ? {"action": "forward", "timeoutMs": ${2000 + service}, "attempts": 3, "isRepeatable": true} : {"action": "forward", "timeoutMs": 5000, "onceKey": key}`,
		},
		{kind: 'pool', name, service: name},
		{
			kind: 'route', name, host: `${name}.example.test`, path: '/', pool: name, policy: name,
		},
	].map(item => itemSchema.parse(item));
}

/** @returns The items of many services. */
export function createItems(services: number): readonly Item[] {
	return Array.from({length: services}, (_, service) => createServiceItems(service)).flat();
}

/** @returns The pool of a service. Its `slowStartMs` depends on the revision, so that each revision is a change. */
export function createRevisedPool(service: number, revision: number): Item {
	return itemSchema.parse({
		kind: 'pool', name: `service-${service}`, service: `service-${service}`, slowStartMs: 1000 + (revision % 100_000),
	});
}
