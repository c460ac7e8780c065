/**
 * A submission: changes that an operator submits to be applied together.
 *
 * @module
 */
import {z} from 'zod';
import {type SubmissionId} from '../common/ids.js';
import {type ItemChange} from './configured-item.js';
import {isItemKey, itemSchema} from './item.js';

const maximumChanges = 50_000;

/** Schema of one change. @internal */
export const itemChangeSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('put'), item: itemSchema}).readonly(),
	z.strictObject({type: z.literal('remove'), key: z.string().refine(isItemKey, 'must be kind/name')}).readonly(),
]) as z.ZodType<ItemChange>;

/** Schema of a submission. @public */
export const submissionSchema = z.strictObject({
	id: z.string().regex(/^[\w.:-]{1,100}$/, 'must be 1 to 100 letters, digits, ".", "_", ":" or "-"') as unknown as z.ZodType<SubmissionId>,
	seenVersion: z.int().min(0),
	bases: z.record(z.string().refine(isItemKey, 'must be kind/name'), z.int().min(0)).readonly().default({}),
	changes: z.array(itemChangeSchema).min(1).max(maximumChanges).readonly(),
}).readonly();

/**
 * - `id`: identifies the submission, so that submitting it again does not apply it twice.
 * - `seenVersion`: the version that the client saw when it chose the id.
 * - `bases`: the expected revisions of items, by key; 0 means that the item must not exist.
 *
 * @public
 */
export type Submission = {
	readonly id: SubmissionId;
	readonly seenVersion: number;
	readonly bases: Readonly<Record<string, number>>;
	readonly changes: readonly ItemChange[];
};

/** Outcome of a submission. @public */
export type SubmissionOutcome =
	| {readonly type: 'accepted'; readonly version: number; readonly isRepeated: boolean}
	| {readonly type: 'unchanged'; readonly version: number}
	| {readonly type: 'invalid'; readonly problems: ReadonlyArray<{readonly item: string; readonly field: string; readonly message: string}>}
	| {readonly type: 'conflict'; readonly items: readonly ItemConflict[]}
	| {readonly type: 'expired'; readonly oldestVersion: number}
	| {readonly type: 'unavailable'; readonly reason: string; readonly retryAfterMs: number}
	| {readonly type: 'unknown'; readonly id: SubmissionId};

/** An item whose current revision differs from the expected one. @public */
export type ItemConflict = {
	readonly key: string;
	readonly base: number;
	readonly current: number;
};
