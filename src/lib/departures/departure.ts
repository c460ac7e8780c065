/**
 * The departure of a backend server, and its encoding in reports and in the
 * store.
 *
 * @module
 */
import {toBackendServerId, toNodeId, type NodeId} from '../common/ids.js';
import {readCount, readList, readName} from '../common/read-input.js';
import {type ServerLifetime} from '../common/server-lifetime.js';

/** A backend server that drains or has left, and the node beside it, which acknowledged this. The lifetime gets no further requests. @internal */
export type Departure = {
	readonly node: NodeId;
	readonly lifetime: ServerLifetime;
};

/**
 * Encodes a departure as a list without field names, because heartbeats contain it.
 *
 * @param departure - The departure.
 * @returns A JSON value.
 * @internal
 */
export function encodeDeparture({node, lifetime}: Departure): readonly unknown[] {
	return [node, lifetime.id, lifetime.startedAt];
}

/**
 * Decodes a departure.
 *
 * @param value - A JSON value.
 * @param place - Where the value was found, for the error.
 * @returns The departure.
 * @throws FieldError if the value is malformed.
 * @internal
 */
export function decodeDeparture(value: unknown, place: string): Departure {
	const [node, id, startedAt] = readList(value, place);
	return {
		node: toNodeId(readName(node, `${place}.node`)),
		lifetime: {id: toBackendServerId(readName(id, `${place}.id`)), startedAt: readCount(startedAt, `${place}.startedAt`)},
	};
}
