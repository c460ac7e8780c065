/**
 * Messages between an entry and a coordinator, as heads of frames: lists without
 * names of fields, since nodes exchange them several times a second.
 *
 * @module
 */
import {FieldError} from '../common/field-error.js';
import {toNodeId, type NodeId} from '../common/ids.js';
import {
	readAmount, readCount, readFlag, readList, readName,
} from '../common/read-input.js';
import {quotaGroupCount} from './quota-group.js';

/** A time of a coordinator, by which it recognizes how old a message is. @internal */
export type QuotaStamp = {
	/** The run of the coordinator. A stamp of an earlier run is void. */
	readonly run: string;
	/** Milliseconds of the coordinator's steady clock, rounded down. */
	readonly at: number;
};

/** Tokens that an entry asks for. @internal */
export type QuotaWant = {readonly workspace: string; readonly tokens: number};

/** Asks a coordinator for tokens, and lends it the node's parts. @internal */
export type QuotaAsk = {
	readonly asker: NodeId;
	/** Number of nodes by which the asker computes its part. */
	readonly nodes: number;
	/** Number of nodes that the asker knows of itself; 0 if it may know too few. */
	readonly known: number;
	/** The last stamp received from the coordinator; `undefined` if nothing is lent. */
	readonly stamp: QuotaStamp | undefined;
	/** Groups whose parts are lent. */
	readonly lent: readonly number[];
	/** Groups whose loans to this coordinator end now, before their time. */
	readonly released: readonly number[];
	readonly wants: readonly QuotaWant[];
};

/** Tokens for one want. @internal */
export type QuotaGrant = {
	/** May be fewer than asked for. */
	readonly tokens: number;
	/** Milliseconds until there may be more; `undefined` if the coordinator has too few loans to know. Without meaning if all tokens were granted. */
	readonly retryMs: number | undefined;
	/** Whether many tokens are left. */
	readonly isPlenty: boolean;
};

/** @internal */
export type QuotaAnswer = {
	readonly stamp: QuotaStamp;
	/** As in an ask. */
	readonly known: number;
	/** Whether the coordinator has just started, and grants nothing until it knows how many nodes there are. */
	readonly isSettling: boolean;
	/** One for each want, in the same order. */
	readonly grants: readonly QuotaGrant[];
};

/** Maximum number of wants in an ask: more workspaces than any node has callers of at a time. @internal */
export const maxWantCount = 1000;

/** Maximum number of tokens of a want: several times what one node handles in the longest time to live. @internal */
export const maxWantTokens = 100_000;

const maxNodeCount = 100_000;
const maxRetryMs = 3_600_000;

const readNodeCount = (value: unknown, place: string): number => Math.trunc(readAmount(value, place, maxNodeCount));

function readStamp(value: unknown, place: string): QuotaStamp {
	const [run, at] = readList(value, place);
	return {run: readName(run, `${place}.run`), at: readCount(at, `${place}.at`)};
}

function readGroup(value: unknown, place: string): number {
	const group = readCount(value, place);
	if (group >= quotaGroupCount) {
		throw new FieldError(place, group, `groups below ${quotaGroupCount}`);
	}

	return group;
}

function readWant(value: unknown): QuotaWant {
	const [workspace, tokens] = readList(value, 'ask.wants');
	return {workspace: readName(workspace, 'ask.wants.workspace'), tokens: Math.trunc(readAmount(tokens, 'ask.wants.tokens', maxWantTokens))};
}

/**
 * @param ask - The ask.
 * @returns The head of its frame.
 * @internal
 */
export function encodeQuotaAsk({asker, nodes, known, stamp, lent, released, wants}: QuotaAsk): readonly unknown[] {
	return [asker, nodes, known, stamp === undefined ? 0 : [stamp.run, stamp.at], lent, released, wants.map(({workspace, tokens}) => [workspace, tokens])];
}

/**
 * @param head - The head of a frame.
 * @returns The ask.
 * @throws FieldError if a field is invalid.
 * @internal
 */
export function decodeQuotaAsk(head: unknown): QuotaAsk {
	const [asker, nodes, known, stamp, lent, released, wants] = readList(head, 'ask');
	const lentGroups = readList(lent, 'ask.lent');
	const releasedGroups = readList(released, 'ask.released');
	const wantList = readList(wants, 'ask.wants');
	if (wantList.length > maxWantCount || lentGroups.length > quotaGroupCount || releasedGroups.length > quotaGroupCount) {
		throw new FieldError('ask', wantList.length, `at most ${maxWantCount} wants and ${quotaGroupCount} groups`);
	}

	return {
		asker: toNodeId(readName(asker, 'ask.asker')),
		nodes: Math.max(1, readNodeCount(nodes, 'ask.nodes')),
		known: readNodeCount(known, 'ask.known'),
		stamp: stamp === 0 ? undefined : readStamp(stamp, 'ask.stamp'),
		lent: lentGroups.map(value => readGroup(value, 'ask.lent')),
		released: releasedGroups.map(value => readGroup(value, 'ask.released')),
		wants: wantList.map(value => readWant(value)),
	};
}

/**
 * @param answer - The answer.
 * @returns The head of its frame.
 * @internal
 */
export function encodeQuotaAnswer({stamp, known, isSettling, grants}: QuotaAnswer): readonly unknown[] {
	return [[stamp.run, stamp.at], known, Number(isSettling), grants.map(({tokens, retryMs, isPlenty}) => [tokens, retryMs === undefined ? -1 : Math.ceil(retryMs), Number(isPlenty)])];
}

function readGrant(value: unknown, want: QuotaWant | undefined): QuotaGrant {
	const [tokens, retryMs, isPlenty] = readList(value, 'answer.grants');
	return {
		tokens: Math.trunc(readAmount(tokens, 'answer.grants.tokens', want?.tokens ?? 0)),
		retryMs: retryMs === -1 ? undefined : Math.min(maxRetryMs, readAmount(retryMs, 'answer.grants.retry', Number.MAX_SAFE_INTEGER)),
		isPlenty: readFlag(isPlenty, 'answer.grants.plenty'),
	};
}

/**
 * @param head - The head of a frame.
 * @param ask - The ask that it answers.
 * @returns The answer; `undefined` if it is malformed, or grants more than was asked for.
 * @internal
 */
export function decodeQuotaAnswer(head: unknown, ask: QuotaAsk): QuotaAnswer | undefined {
	try {
		const [stamp, known, isSettling, grants] = readList(head, 'answer');
		const grantList = readList(grants, 'answer.grants');
		if (grantList.length !== ask.wants.length) {
			return undefined;
		}

		return {
			stamp: readStamp(stamp, 'answer.stamp'),
			known: readNodeCount(known, 'answer.known'),
			isSettling: readFlag(isSettling, 'answer.settling'),
			grants: grantList.map((value, index) => readGrant(value, ask.wants[index])),
		};
	} catch {
		// The entry treats a malformed answer like a missing one.
		return undefined;
	}
}
