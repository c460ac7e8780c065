/**
 * The services, routes and load of a mesh like those of users whose servers are nearly fully used: three services, whose
 * servers call each other.
 *
 * @module
 */
import {createTestConfig} from '../../platform/test-mesh.js';

/** Requests of one kind. */
export type RequestClass = {
	readonly prefix: string;
	readonly service: string;
	readonly type: 'safe' | 'unsafe' | 'upload';
	/** Mean of the work, and its maximum, in milliseconds. */
	readonly workMs: number;
	readonly maxWorkMs: number;
	readonly targetLatencyMs: number;
	readonly timeoutMs: number;
	/** Time that callers give a request, in milliseconds. */
	readonly callerTimeoutMs: number;
	readonly priority: number;
	readonly bodyBytes: number;
	/** Share of the requests of callers; 0 if only servers make them. */
	readonly weight: number;
	/** What the server calls while it works on most of these requests, and how often. */
	readonly calls?: {readonly prefix: string; readonly times: number};
};

/** Share of the requests for which the server makes its calls. */
export const callShare = 0.7;

export const requestClasses: readonly RequestClass[] = [
	{
		prefix: '/view/', service: 'board', type: 'safe', workMs: 120, maxWorkMs: 900, targetLatencyMs: 400, timeoutMs: 800, callerTimeoutMs: 1500, priority: 2, bodyBytes: 0, weight: 5.4,
		calls: {prefix: '/crew/', times: 2},
	},
	{
		prefix: '/swap/', service: 'desk', type: 'unsafe', workMs: 160, maxWorkMs: 940, targetLatencyMs: 500, timeoutMs: 1000, callerTimeoutMs: 2000, priority: 1, bodyBytes: 300, weight: 2.3,
		calls: {prefix: '/receipt/', times: 1},
	},
	{
		prefix: '/ledger/', service: 'vault', type: 'upload', workMs: 140, maxWorkMs: 860, targetLatencyMs: 500, timeoutMs: 1000, callerTimeoutMs: 2000, priority: 1, bodyBytes: 60_000, weight: 0.59,
	},
	{
		prefix: '/crew/', service: 'desk', type: 'safe', workMs: 30, maxWorkMs: 180, targetLatencyMs: 120, timeoutMs: 400, callerTimeoutMs: 400, priority: 0, bodyBytes: 0, weight: 0,
	},
	{
		prefix: '/receipt/', service: 'vault', type: 'safe', workMs: 30, maxWorkMs: 180, targetLatencyMs: 120, timeoutMs: 400, callerTimeoutMs: 400, priority: 0, bodyBytes: 0, weight: 0,
	},
];

/** The failure domains, each with the services of the backend servers on its VMs. */
const domains: Readonly<Record<string, readonly string[]>> = {
	a: ['board', 'board', 'board', 'desk', 'desk', 'vault'],
	b: ['board', 'board', 'desk', 'vault'],
	c: ['board', 'desk', 'vault'],
};

/** The service of the backend server on each VM, and its failure domain. */
export const vmLayout = Object.entries(domains).flatMap(([failureDomain, services]) => services.map(service => ({service, failureDomain})));

/** Routes that every second configuration adds. */
const addedRoutes = 20;

/**
 * Creates a configuration. Successive ones differ in their timeouts and in routes that nothing uses.
 *
 * @param index - Its index, from 0.
 * @returns The configuration as operators write it.
 */
export function createLoadedConfig(index: number): unknown {
	const routes = requestClasses.map(({prefix, service, type, targetLatencyMs, timeoutMs, priority}) => ({
		prefix, service, type, attempts: type === 'safe' ? 2 : 1, timeout: `${timeoutMs}ms`, targetLatency: `${targetLatencyMs}ms`, priority,
	}));
	const unused = Array.from({length: index % 2 === 0 ? 0 : addedRoutes}, (_, number) => ({prefix: `/unused-${index}-${number}/`, service: 'board'}));
	return createTestConfig(1 + (index * 3), [...routes, ...unused]);
}

/**
 * Finds the class of a request.
 *
 * @param target - The request target.
 * @returns The class.
 * @throws Error if no class has the target.
 */
export function findClass(target: string): RequestClass {
	const found = requestClasses.find(({prefix}) => target.startsWith(prefix));
	if (found === undefined) {
		throw new Error(`${target} belongs to no class of requests`);
	}

	return found;
}

/**
 * @param target - The request target.
 * @returns For how long its caller and the operator wait for the answer, in milliseconds.
 */
export function getTimeLimitMs(target: string): number {
	const {callerTimeoutMs, timeoutMs} = findClass(target);
	return Math.min(callerTimeoutMs, timeoutMs);
}
