/**
 * Encodes and decodes the messages between nodes. Decoding validates fields and
 * refuses a malformed message.
 *
 * @module
 */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {err, ok, type Result} from 'neverthrow';
import {formatCanonical} from '../common/digest.js';
import {
	toAddress, toBackendServerId, toDigest, toFailureDomain, toNodeId, toSubmissionId,
} from '../common/ids.js';
import {parseJson} from '../common/parse-json.js';
import {type Delta} from '../configuration/configuration.js';
import {type ConfiguredItem, type ItemChange} from '../configuration/configured-item.js';
import {
	formatItemKey, isItemKey, itemSchema, type Item,
} from '../configuration/item.js';
import {nodeStatuses, type BackendServer, type NodeRecord} from '../directory/node-record.js';
import {
	type BackendServer as ServerMessage, type ConfigurationBucket, ConfigurationBucketSchema, type Delta as DeltaMessage,
	DeltaSchema, type ItemChange as ChangeMessage, type NodeRecord as RecordMessage, NodeRecordSchema, type Summary as SummaryMessage, SummarySchema,
} from '../generated/stonemoor/v1/node_pb.js';
import {type Summary} from './summary.js';

/** Why a message was refused. @internal */
export type WireError = {readonly type: 'malformed'; readonly reason: string};

const encodedItems = new WeakMap<Item, string>();

/** Encodes an item as canonical JSON. The text is cached, because a pushed item is sent to every child. */
function encodeItem(item: Item): string {
	const known = encodedItems.get(item);
	if (known !== undefined) {
		return known;
	}

	const text = formatCanonical(item);
	encodedItems.set(item, text);
	return text;
}

function decodeItem(body: string): Result<Item, WireError> {
	return parseJson(body, itemSchema).mapErr((problem): WireError => ({type: 'malformed', reason: `an item ${problem}`}));
}

function encodeChange(change: ItemChange): MessageInitShape<typeof DeltaSchema>['changes'] extends Array<infer C> | undefined ? C : never {
	return change.type === 'put'
		? {key: formatItemKey(change.item), body: encodeItem(change.item)}
		: {key: change.key};
}

function decodeChange(message: ChangeMessage): Result<ItemChange, WireError> {
	const {key, body} = message;
	if (body !== undefined) {
		return decodeItem(body).map(item => ({type: 'put', item}));
	}

	return isItemKey(key) ? ok({type: 'remove', key}) : err({type: 'malformed', reason: `${key} is not an item key`});
}

function collectResults<T>(results: ReadonlyArray<Result<T, WireError>>): Result<readonly T[], WireError> {
	const values: T[] = [];
	for (const result of results) {
		if (result.isErr()) {
			return err(result.error);
		}

		values.push(result.value);
	}

	return ok(values);
}

/**
 * @param delta - The delta to encode.
 * @returns The message.
 * @internal
 */
export function encodeDelta(delta: Delta): DeltaMessage {
	return create(DeltaSchema, {
		version: delta.version,
		parentDigest: delta.parentDigest,
		digest: delta.digest,
		submissionIds: [...delta.submissionIds],
		changes: delta.changes.map(change => encodeChange(change)),
	});
}

/**
 * @param message - A message from another node.
 * @returns The delta, or what is wrong with the message.
 * @internal
 */
export function decodeDelta(message: DeltaMessage): Result<Delta, WireError> {
	return collectResults(message.changes.map(change => decodeChange(change))).map(changes => ({
		version: message.version,
		parentDigest: toDigest(message.parentDigest),
		digest: toDigest(message.digest),
		submissionIds: message.submissionIds.map(id => toSubmissionId(id)),
		changes,
	}));
}

/**
 * @param messages - Messages from another node.
 * @returns All deltas, or what is wrong with the first malformed one.
 * @internal
 */
export function decodeDeltas(messages: readonly DeltaMessage[]): Result<readonly Delta[], WireError> {
	return collectResults(messages.map(message => decodeDelta(message)));
}

/**
 * @param index - The index of the bucket in the digest tree.
 * @param items - All items of the bucket.
 * @returns The message.
 * @internal
 */
export function encodeBucket(index: number, items: readonly ConfiguredItem[]): ConfigurationBucket {
	return create(ConfigurationBucketSchema, {
		index,
		entries: items.map(({item, revision}) => ({revision, body: encodeItem(item)})),
	});
}

/**
 * @param messages - Messages from another node.
 * @returns The items by bucket index, or what is wrong with the first malformed one.
 * @internal
 */
export function decodeBuckets(messages: readonly ConfigurationBucket[]): Result<ReadonlyMap<number, readonly ConfiguredItem[]>, WireError> {
	return collectResults(messages.map(({index, entries}) =>
		collectResults(entries.map(({revision, body}) => decodeItem(body).map((item): ConfiguredItem => ({item, revision}))))
			.map(items => [index, items] as const))).map(pairs => new Map(pairs));
}

function decodeServer(message: ServerMessage): BackendServer {
	return {
		id: toBackendServerId(message.id),
		service: message.service,
		address: toAddress(message.address),
		slots: message.slots,
		connections: message.connections,
		startedAt: Number(message.startedAt),
		isDraining: message.draining,
		...message.leaving ? {isLeaving: true} : {},
	};
}

/**
 * @param record - The node record to encode.
 * @returns The message.
 * @internal
 */
export function encodeRecord(record: NodeRecord): RecordMessage {
	return create(NodeRecordSchema, {
		...record,
		epoch: BigInt(record.epoch),
		servers: record.servers.map(server => ({
			...server, startedAt: BigInt(server.startedAt), draining: server.isDraining, leaving: server.isLeaving ?? false,
		})),
	});
}

/**
 * @param message - A message from another node.
 * @returns The node record, or what is wrong with the message.
 * @internal
 */
export function decodeRecord(message: RecordMessage): Result<NodeRecord, WireError> {
	const status = nodeStatuses.find(candidate => candidate === message.status);
	if (message.id === '' || message.failureDomain === '' || status === undefined) {
		return err({type: 'malformed', reason: 'the node record lacks an id, a failure domain or a known status'});
	}

	return ok({
		id: toNodeId(message.id),
		failureDomain: toFailureDomain(message.failureDomain),
		gateAddress: toAddress(message.gateAddress),
		controlAddress: toAddress(message.controlAddress),
		gossipAddress: toAddress(message.gossipAddress),
		operatorAddress: toAddress(message.operatorAddress),
		epoch: Number(message.epoch),
		sequence: message.sequence,
		status,
		servers: message.servers.map(server => decodeServer(server)),
	});
}

/**
 * @param messages - Messages from another node.
 * @returns All node records, or what is wrong with the first malformed one.
 * @internal
 */
export function decodeRecords(messages: readonly RecordMessage[]): Result<readonly NodeRecord[], WireError> {
	return collectResults(messages.map(message => decodeRecord(message)));
}

/**
 * @param summary - The summary to encode.
 * @returns The message.
 * @internal
 */
export function encodeSummary(summary: Summary): SummaryMessage {
	return create(SummarySchema, {...summary, laggards: summary.laggards.map(laggard => ({...laggard}))});
}

/**
 * @param message - A message from another node.
 * @returns The summary. It is not validated, because it is only displayed.
 * @internal
 */
export function decodeSummary(message: SummaryMessage): Summary {
	return {
		failureDomain: toFailureDomain(message.failureDomain),
		nodes: message.nodes,
		lowestVersion: message.lowestVersion,
		highestVersion: message.highestVersion,
		laggards: message.laggards.map(({node, version, reason}) => ({node: toNodeId(node), version, reason})),
	};
}
