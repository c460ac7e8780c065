/**
 * The items of a configuration: routes, pools and policies, with their schemas.
 *
 * @module
 */
import {z} from 'zod';

const maximumNameLength = 100;
const maximumExpressionLength = 4096;
const maximumVariables = 16;

const nameSchema = z.string()
	.regex(/^[a-z\d][a-z\d._-]*$/, 'must be lower-case letters, digits, ".", "_" or "-", and start with a letter or digit')
	.max(maximumNameLength);

const expressionSchema = z.string().min(1).max(maximumExpressionLength);

/** Schema of a route. @public */
export const routeSchema = z.strictObject({
	kind: z.literal('route'),
	name: nameSchema,
	host: z.string().min(1).max(253).default('*'),
	path: z.string().startsWith('/', 'must start with "/"').max(1000).default('/'),
	methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be an upper-case HTTP method')).max(16).default([]),
	headers: z.record(z.string().regex(/^[a-z\d-]+$/, 'must be a lower-case header name'), z.string()).default({}),
	pool: nameSchema,
	policy: nameSchema,
}).readonly();

/** Schema of a pool of backend servers. @public */
export const poolSchema = z.strictObject({
	kind: z.literal('pool'),
	name: nameSchema,
	service: nameSchema,
	isLocalFirst: z.boolean().default(true),
	slowStartMs: z.int().min(0).max(600_000).default(5000),
}).readonly();

/** Schema of a policy program. @public */
export const policySchema = z.strictObject({
	kind: z.literal('policy'),
	name: nameSchema,
	variables: z.array(z.strictObject({
		name: z.string().regex(/^[a-z]\w*$/i, 'must be a CEL identifier'),
		expression: expressionSchema,
	}).readonly()).max(maximumVariables).readonly().default([]),
	decision: expressionSchema,
}).readonly();

/** Schema of any item. @public */
export const itemSchema = z.discriminatedUnion('kind', [routeSchema, poolSchema, policySchema]);

/** Forwards matching requests to a pool, as its policy decides. @public */
export type Route = z.infer<typeof routeSchema>;

/** The backend servers of one service, and how one of them is selected. @public */
export type Pool = z.infer<typeof poolSchema>;

/** A short program that decides how a request is handled. @public */
export type Policy = z.infer<typeof policySchema>;

/** @public */
export type Item = Route | Pool | Policy;

/** @public */
export type ItemKind = Item['kind'];

/** Key of an item, unique across all kinds, such as `route/logs`. @public */
export type ItemKey = `${ItemKind}/${string}`;

/**
 * @param item - The item, or its kind and name.
 * @returns The key of the item.
 * @public
 */
export function formatItemKey(item: {readonly kind: ItemKind; readonly name: string}): ItemKey {
	return `${item.kind}/${item.name}`;
}

/**
 * @param text - The text to check.
 * @returns Whether it has the form of an item key.
 * @public
 */
export function isItemKey(text: string): text is ItemKey {
	return /^(route|pool|policy)\/[a-z\d][a-z\d._-]*$/.test(text);
}
