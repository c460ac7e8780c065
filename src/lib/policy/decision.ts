/**
 * The decision of a policy program about one request.
 *
 * @module
 */
import {z} from 'zod';

/** Classes of requests. At the gate, a request does not wait behind queued requests of the other class. @public */
export type WorkClass = 'interactive' | 'bulk';

const maximumTimeoutMs = 3_600_000;
const maximumAttempts = 5;

/** Schema of a decision, with the default of each field. @public */
export const decisionSchema = z.discriminatedUnion('action', [
	z.strictObject({
		action: z.literal('forward'),
		timeoutMs: z.int().min(1).max(maximumTimeoutMs).default(10_000),
		attempts: z.int().min(1).max(maximumAttempts).default(2),
		isRepeatable: z.boolean().default(false),
		workClass: z.enum(['interactive', 'bulk']).default('interactive'),
		onceKey: z.string().max(200).default(''),
	}).readonly(),
	z.strictObject({
		action: z.literal('refuse'),
		status: z.int().min(400).max(599).default(403),
		reason: z.string().max(500).default('refused by policy'),
	}).readonly(),
]);

/** @public */
export type Decision = z.infer<typeof decisionSchema>;

/** @public */
export type ForwardDecision = Extract<Decision, {readonly action: 'forward'}>;
