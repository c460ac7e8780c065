/**
 * The configuration of the mesh: routes, services and limits, under one
 * version. It is decoded from the text in the store.
 *
 * @module
 */

import {type Workspace} from '../workspaces/workspace.js';

/** Whether a request of a route may run more than once, and whether its body or response is large. @public */
export type RouteType =
	/** May run more than once. */
	| 'safe'
	/** Runs at most once. */
	| 'unsafe'
	/** Has a large body, and runs at most once. */
	| 'upload'
	/** Has a large response, and may run more than once. */
	| 'download';

/** A service that receives a share of a route's requests. @public */
export type WeightedService = {
	readonly service: string;
	/** Relative to the weights of the route's other services; 0 for no requests. */
	readonly weight: number;
};

/** Routing rule for the requests to one host under one path prefix. @public */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Path prefix that begins and ends with a slash. The rule with the longest matching prefix applies. */
	readonly prefix: string;
	readonly type: RouteType;
	/** Empty if a part of the route could not be decoded. Its requests are refused as not executed rather than as not found, since the route does exist. */
	readonly services: readonly WeightedService[];
	/** Maximum time until a caller gets an answer. */
	readonly timeoutMs: number;
	/** Maximum number of backend servers that a request is sent to. */
	readonly maxAttempts: number;
	/** Latency objective: an answer within this time has its full value. */
	readonly targetLatencyMs: number;
	/** Priority under overload; 0 is the highest. */
	readonly priority: number;
	/** Whether requests need no key where the configuration has workspaces. */
	readonly allowsAnonymous: boolean;
};

/** Settings of a service. @public */
export type ServiceRule = {
	readonly name: string;
	readonly healthCheckPath: string;
	/** Maximum number of connections that one backend server accepts from all its clients together. */
	readonly maxConnections: number;
};

/** Size limits and timeouts of callers' connections and requests. @public */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A whole configuration. @public */
export type RouteConfig = {
	/** Increases with every change, not necessarily by one. */
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly services: readonly ServiceRule[];
	readonly limits: CallerLimits;
	/** Empty if requests need no key. */
	readonly workspaces: readonly Workspace[];
	/** Hosts with rules whose prefix could not be decoded: a request to one of them that matches no route may belong to such a rule. */
	readonly unreadHosts: ReadonlySet<string>;
	/** Parts of the configuration that this node does not support, each with its place and a remedy. */
	readonly warnings: readonly string[];
};

/**
 * Checks whether the requests of a route may run more than once.
 *
 * @param type - Type of the route.
 * @returns Whether its requests may be sent again after they may have been executed.
 * @public
 */
export function isRepeatable(type: RouteType): boolean {
	return type === 'safe' || type === 'download';
}

/**
 * @param type - Type of the route.
 * @returns Whether the answers to its requests are large.
 * @public
 */
export function hasLargeAnswers(type: RouteType): boolean {
	return type === 'download';
}

/**
 * @param type - Type of the route.
 * @returns Whether its requests have large bodies or answers, and so load the network links more than the backend servers.
 * @public
 */
export function isBulk(type: RouteType): boolean {
	return type === 'upload' || type === 'download';
}
