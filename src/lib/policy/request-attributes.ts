/**
 * Attributes of a request that a policy program can read.
 *
 * @module
 */

/** @public */
export type RequestAttributes = {
	readonly method: string;
	readonly host: string;
	/** The path without the query. */
	readonly path: string;
	/** Values by header name, in lower case. */
	readonly headers: ReadonlyMap<string, string>;
	/** Size of the body in bytes, or -1 if the caller did not declare it. */
	readonly size: number;
	/** IP address of the caller. */
	readonly caller: string;
};

/** Requests on which each program is run before it is accepted. @internal */
export const sampleRequests: readonly RequestAttributes[] = [
	{
		method: 'GET', host: 'example.test', path: '/', headers: new Map(), size: 0, caller: '192.0.2.1',
	},
	{
		method: 'POST', host: 'example.test', path: '/items/1', headers: new Map([['idempotency-key', 'k1'], ['content-type', 'application/json']]), size: 2048, caller: '192.0.2.2',
	},
	{
		method: 'PUT', host: 'example.test', path: '/bundles/huge', headers: new Map([['content-type', 'application/octet-stream']]), size: -1, caller: '2001:db8::1',
	},
];
