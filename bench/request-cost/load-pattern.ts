/**
 * The load of `npm run bench -- request-cost`: services, kinds of requests and the
 * nested calls that backend servers make while they run a request.
 *
 * @module
 */

/** A service with its backend servers. */
export type LoadService = {
	readonly name: string;
	/** Backend servers of the service, each beside its own node. */
	readonly servers: number;
};

/** Calls that a backend server makes while it runs a request. */
export type NestedCalls = {
	readonly kind: string;
	readonly count: number;
	/** Share of the requests that make the calls. */
	readonly share: number;
	/** Whether the calls run at the same time. */
	readonly areParallel: boolean;
};

/** A kind of request with a route of its own. */
export type RequestKind = {
	readonly name: string;
	readonly service: string;
	readonly method: string;
	/** Type of the route in the platform's configuration. */
	readonly routeType: string;
	/** Share of the callers' requests; 0 for a kind that only backend servers send. */
	readonly share: number;
	readonly workMs: number;
	readonly timeoutMs: number;
	/** Time within which a response is in time. */
	readonly targetLatencyMs: number;
	readonly requestBytes: number;
	readonly responseBytes: number;
	/** Whether callers keep their connections for further requests. */
	readonly keepsConnections: boolean;
	readonly nested?: NestedCalls;
};

/** Services with reads, writes and large downloads, in the proportions of the users' mesh that has the most nested calls. */
export const loadServices: readonly LoadService[] = [
	{name: 'catalog', servers: 5},
	{name: 'publishing', servers: 4},
	{name: 'archive', servers: 4},
];

/** The kinds of requests. */
export const requestKinds: readonly RequestKind[] = [
	{
		name: 'read', service: 'catalog', method: 'GET', routeType: 'safe', share: 0.625, workMs: 63, timeoutMs: 1200, targetLatencyMs: 200, requestBytes: 0, responseBytes: 1500, keepsConnections: true,
		nested: {
			kind: 'check', count: 2, share: 0.7, areParallel: false,
		},
	},
	{
		name: 'write', service: 'publishing', method: 'POST', routeType: 'unsafe', share: 0.208, workMs: 82, timeoutMs: 800, targetLatencyMs: 250, requestBytes: 1200, responseBytes: 5000, keepsConnections: false,
		nested: {
			kind: 'tags', count: 2, share: 0.7, areParallel: true,
		},
	},
	{
		name: 'download', service: 'archive', method: 'GET', routeType: 'download', share: 0.08, workMs: 50, timeoutMs: 1500, targetLatencyMs: 250, requestBytes: 0, responseBytes: 90_000, keepsConnections: false,
	},
	{
		name: 'order', service: 'archive', method: 'DELETE', routeType: 'unsafe', share: 0.087, workMs: 50, timeoutMs: 1000, targetLatencyMs: 150, requestBytes: 0, responseBytes: 1500, keepsConnections: true,
	},
	{
		name: 'check', service: 'publishing', method: 'GET', routeType: 'safe', share: 0, workMs: 16, timeoutMs: 200, targetLatencyMs: 60, requestBytes: 0, responseBytes: 400, keepsConnections: true,
	},
	{
		name: 'tags', service: 'archive', method: 'GET', routeType: 'safe', share: 0, workMs: 16, timeoutMs: 200, targetLatencyMs: 60, requestBytes: 0, responseBytes: 400, keepsConnections: true,
	},
];

/** Returns the kind of request with a name. Throws if there is none. */
export function getRequestKind(name: string): RequestKind {
	const kind = requestKinds.find(candidate => candidate.name === name);
	if (kind === undefined) {
		throw new Error(`no kind of request is named ${name}`);
	}

	return kind;
}
