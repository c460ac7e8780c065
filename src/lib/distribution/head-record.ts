/**
 * The record behind the store's key `head`: which version is accepted, and
 * where a reader that is behind finds what it lacks.
 *
 * The record stays small, because every relay receives it with every change.
 * Steps that no longer fit are moved to pages, and pages give way to snapshots.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Digest, type SubmissionId} from '../common/ids.js';
import {type Delta} from '../configuration/configuration.js';
import {itemChangeSchema} from '../configuration/submission.js';

/** @internal */
export const headKey = 'stonemoor/head';

const digestSchema = z.string().length(43) as unknown as z.ZodType<Digest>;

/** Schema of a step of the version chain, as the store keeps it. @internal */
export const deltaSchema = z.strictObject({
	version: z.int().min(1),
	parentDigest: digestSchema,
	digest: digestSchema,
	submissionIds: z.array(z.string() as unknown as z.ZodType<SubmissionId>).readonly(),
	changes: z.array(itemChangeSchema).readonly(),
}).readonly() as z.ZodType<Delta>;

/** Schema of a page of steps. @internal */
export const pageSchema = z.array(deltaSchema).readonly();

const pageReferenceSchema = z.strictObject({key: z.string(), first: z.int(), last: z.int()}).readonly();

/** Schema of the record. @internal */
export const headRecordSchema = z.strictObject({
	format: z.literal(1),
	version: z.int().min(0),
	digest: digestSchema,
	deltas: z.array(deltaSchema).readonly(),
	pages: z.array(pageReferenceSchema).readonly(),
	snapshot: z.strictObject({version: z.int(), key: z.string()}).readonly().optional(),
}).readonly();

/** Names a stored page of steps, and the versions it holds. @internal */
export type PageReference = z.infer<typeof pageReferenceSchema>;

/**
 * - `deltas`: the newest steps, oldest first.
 * - `pages`: earlier steps back to the snapshot, oldest first.
 * - `snapshot`: a whole version; without one, the chain begins at version 0.
 *
 * @internal
 */
export type HeadRecord = z.infer<typeof headRecordSchema>;

/** A page that has to be written before the record that refers to it. @internal */
export type PageToWrite = {
	readonly key: string;
	readonly deltas: readonly Delta[];
};

/** @internal */
export type HeadLimits = {
	/** Bytes of steps that ride in the record itself. */
	readonly inlineBytes: number;
	/** Pages after which a snapshot is due. */
	readonly maximumPages: number;
};

/** @internal */
export const defaultHeadLimits: HeadLimits = {inlineBytes: 4096, maximumPages: 64};

/** What the next record is and what must be in the store before it. @internal */
export type HeadPlan = {
	readonly record: HeadRecord;
	readonly page: PageToWrite | undefined;
	/** A snapshot of the record's own version must be written first. */
	readonly needsSnapshot: boolean;
};

/**
 * Plans the record that follows on another.
 *
 * @param previous - The current record, if there is one.
 * @param delta - The step to the next version.
 * @param limits - What a record may hold.
 * @returns The plan. With `needsSnapshot`, the caller fills in the snapshot's key.
 * @internal
 */
export function planHeadRecord(previous: HeadRecord | undefined, delta: Delta, limits: HeadLimits): HeadPlan {
	const base = {format: 1, version: delta.version, digest: delta.digest} as const;
	const kept = {deltas: previous?.deltas ?? [], pages: previous?.pages ?? [], snapshot: previous?.snapshot};
	const deltas = [...kept.deltas, delta];
	if (measureBytes(deltas) <= limits.inlineBytes) {
		return {record: {...base, ...kept, deltas}, page: undefined, needsSnapshot: false};
	}

	const isHuge = measureBytes([delta]) > limits.inlineBytes * 16;
	if (isHuge || kept.pages.length >= limits.maximumPages) {
		return {record: {...base, deltas: [], pages: []}, page: undefined, needsSnapshot: true};
	}

	const key = `stonemoor/page/${deltas[0]?.version ?? 0}-${delta.version}-${delta.digest}`;
	const reference = {key, first: deltas[0]?.version ?? 0, last: delta.version};
	return {
		record: {
			...base, deltas: [], pages: [...kept.pages, reference], snapshot: kept.snapshot,
		},
		page: {key, deltas},
		needsSnapshot: false,
	};
}

function measureBytes(value: unknown): number {
	return Buffer.byteLength(JSON.stringify(value));
}
