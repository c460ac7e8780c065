/**
 * Sample items for the tests of all folders.
 *
 * @module
 */
import {type Policy, type Pool, type Route} from './item.js';

/** @internal */
export const samplePolicy: Policy = {
	kind: 'policy', name: 'pages', variables: [], decision: '{"action": "forward", "isRepeatable": true}',
};

/** @internal */
export const samplePool: Pool = {
	kind: 'pool', name: 'logs', service: 'logview', isLocalFirst: true, slowStartMs: 0,
};

/** @internal */
export const sampleRoute: Route = {
	kind: 'route', name: 'logs', host: '*', path: '/logs', methods: [], headers: {}, pool: 'logs', policy: 'pages',
};
