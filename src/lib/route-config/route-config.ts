/**
 * The configuration of a mesh whose routes come ready from a store: routes,
 * services and limits, as one numbered whole.
 *
 * @module
 */

/** May a request run more than once, and is it a large body or does it ask for one? @public */
export type RouteType =
	/** May run more than once. */
	| 'safe'
	/** Runs once at most. */
	| 'unsafe'
	/** Has a large body, and runs once at most. */
	| 'upload'
	/** Has a large answer, and may run more than once. */
	| 'download';

/** One part of a route's traffic. @public */
export type WeightedService = {
	readonly service: string;
	/** Relative to the weights of the other parts; 0 takes no traffic. */
	readonly weight: number;
};

/** Where requests of one host under one prefix go, and how. @public */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash; the longest prefix of a path wins. */
	readonly prefix: string;
	readonly type: RouteType;
	/** Empty if the route could not be read whole: its requests are refused as not run, since they are not known to be unwanted. */
	readonly services: readonly WeightedService[];
	/** Milliseconds that a caller is kept waiting at the most. */
	readonly timeoutMs: number;
	/** Backend servers that one request may be sent to. */
	readonly maxAttempts: number;
	/** Milliseconds within which an answer is worth most. */
	readonly targetLatencyMs: number;
	/** Rank under overload; 0 goes first. */
	readonly priority: number;
};

/** A service that routes may lead to. @public */
export type ServiceRule = {
	readonly name: string;
	readonly healthCheckPath: string;
	/** Connections that one backend server accepts from everybody together. */
	readonly maxConnections: number;
};

/** What a caller may send and how long it may take. @public */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A whole configuration. @public */
export type RouteConfig = {
	/** Grows with every change, in steps of any size. */
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly services: readonly ServiceRule[];
	readonly limits: CallerLimits;
	/** Hosts with rules whose prefix could not be read: a request of theirs that matches nothing may still be meant for one. */
	readonly unreadHosts: ReadonlySet<string>;
	/** What of it this node does not know, with place and remedy. */
	readonly warnings: readonly string[];
};

/**
 * @param type - The type of a route.
 * @returns Whether its requests may run more than once.
 * @public
 */
export function isRepeatable(type: RouteType): boolean {
	return type === 'safe' || type === 'download';
}

/**
 * @param type - The type of a route.
 * @returns Whether answers to its requests are large.
 * @public
 */
export function hasLargeAnswers(type: RouteType): boolean {
	return type === 'download';
}

/**
 * @param type - The type of a route.
 * @returns Whether bodies or answers of its requests are large: what they cost the links is more than what they cost a server.
 * @public
 */
export function isBulk(type: RouteType): boolean {
	return type === 'upload' || type === 'download';
}
