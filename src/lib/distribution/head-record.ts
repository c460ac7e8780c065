/**
 * The record under the store's key `head`: the accepted version, and where a
 * reader finds the deltas or the snapshot that it is missing.
 *
 * The record stays small, because every relay receives it with every change.
 * Deltas that no longer fit are moved to pages. A snapshot replaces the pages
 * when there are too many of them or a delta is very large.
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

/** Schema of a delta in the store: the changes from one version to the next. @internal */
export const deltaSchema = z.strictObject({
	version: z.int().min(1),
	parentDigest: digestSchema,
	digest: digestSchema,
	submissionIds: z.array(z.string() as unknown as z.ZodType<SubmissionId>).readonly(),
	changes: z.array(itemChangeSchema).readonly(),
}).readonly() as z.ZodType<Delta>;

/** Schema of a page of deltas. @internal */
export const pageSchema = z.array(deltaSchema).readonly();

const pageReferenceSchema = z.strictObject({key: z.string(), first: z.int(), last: z.int()}).readonly();

/** Schema of the head record. @internal */
export const headRecordSchema = z.strictObject({
	format: z.literal(1),
	version: z.int().min(0),
	digest: digestSchema,
	deltas: z.array(deltaSchema).readonly(),
	pages: z.array(pageReferenceSchema).readonly(),
	snapshot: z.strictObject({version: z.int(), key: z.string()}).readonly().optional(),
}).readonly();

/** The key of a stored page of deltas, and its first and last version. @internal */
export type PageReference = z.infer<typeof pageReferenceSchema>;

/**
 * - `deltas`: the newest deltas, oldest first.
 * - `pages`: references to the earlier deltas since the snapshot, oldest first.
 * - `snapshot`: reference to a complete configuration; without one, the deltas begin at version 0.
 *
 * @internal
 */
export type HeadRecord = z.infer<typeof headRecordSchema>;

/** A page that must be written before the record that refers to it. @internal */
export type PageToWrite = {
	readonly key: string;
	readonly deltas: readonly Delta[];
};

/** @internal */
export type HeadLimits = {
	/** Maximum size of the deltas in the record itself. */
	readonly inlineBytes: number;
	/** Number of pages after which a snapshot replaces them. */
	readonly maximumPages: number;
};

/** @internal */
export const defaultHeadLimits: HeadLimits = {inlineBytes: 4096, maximumPages: 64};

/** The next record, and what must be written to the store before it. @internal */
export type HeadPlan = {
	readonly record: HeadRecord;
	readonly page: PageToWrite | undefined;
	/** Whether a snapshot of the record's version must be written first. */
	readonly needsSnapshot: boolean;
};

/**
 * Plans the record of the next version.
 *
 * @param previous - The current record, or `undefined` if nothing was accepted yet.
 * @param delta - The delta to the next version.
 * @param limits - The size limits of a record.
 * @returns The plan. With `needsSnapshot`, the caller adds the snapshot's version and key to the record.
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
