/**
 * Directory of all nodes and backend servers of the mesh, as known to this node.
 *
 * Merging is commutative, associative and idempotent: order, repetition and
 * path of arrival of the records do not matter. Two directories that merged the
 * same records are equal.
 *
 * @module
 */
import {
	applyTreeChanges, createDigestTree, getTreeValue, listTreeValues, type DigestTree,
} from '../common/digest-tree.js';
import {type BackendServerId, type FailureDomain, type NodeId} from '../common/ids.js';
import {
	compareRecords, formatRecordFingerprint, isUsable, type BackendServer, type NodeRecord,
} from './node-record.js';

/** A backend server, with the record of the node beside it. @public */
export type DirectoryServer = {
	readonly server: BackendServer;
	readonly node: NodeRecord;
};

/** An immutable state of the directory. @internal */
export type Directory = {
	readonly tree: DigestTree<NodeRecord>;
	/** Servers of usable nodes by service, then by ID. */
	readonly services: ReadonlyMap<string, ReadonlyMap<BackendServerId, DirectoryServer>>;
	/** Nodes by failure domain. */
	readonly domains: ReadonlyMap<FailureDomain, ReadonlySet<NodeId>>;
};

/** Result of a merge: the directory, and the records that it did not have before. @internal */
export type DirectoryMerge = {
	readonly directory: Directory;
	readonly changed: readonly NodeRecord[];
};

/**
 * Creates an empty directory.
 *
 * @returns The directory.
 * @internal
 */
export function createDirectory(): Directory {
	return {tree: createDigestTree(), services: new Map(), domains: new Map()};
}

/**
 * Gets the record of a node.
 *
 * @param directory - The directory.
 * @param id - The ID of the node.
 * @returns The record, or `undefined` if the node is unknown.
 * @internal
 */
export function getRecord(directory: Directory, id: NodeId): NodeRecord | undefined {
	return getTreeValue(directory.tree, id);
}

/**
 * Lists all records.
 *
 * @param directory - The directory.
 * @returns The records, including those of nodes that are dead or left.
 * @internal
 */
export function listRecords(directory: Directory): readonly NodeRecord[] {
	return listTreeValues(directory.tree);
}

/**
 * Lists the records of a failure domain.
 *
 * @param directory - The directory.
 * @param domain - The failure domain.
 * @returns The records, including those of nodes that are dead or left.
 * @internal
 */
export function listDomainRecords(directory: Directory, domain: FailureDomain): readonly NodeRecord[] {
	return [...directory.domains.get(domain) ?? []].flatMap(id => getRecord(directory, id) ?? []);
}

/**
 * Lists the backend servers of a service.
 *
 * @param directory - The directory.
 * @param service - The name of the service.
 * @returns The backend servers whose nodes are usable: alive or suspect.
 * @internal
 */
export function listServers(directory: Directory, service: string): readonly DirectoryServer[] {
	return [...directory.services.get(service)?.values() ?? []];
}

/** The indexes of a directory during one merge. They are copied on write: each inner map or set that changes is copied once. */
type IndexEdit = {
	readonly services: Map<string, Map<BackendServerId, DirectoryServer>>;
	readonly domains: Map<FailureDomain, Set<NodeId>>;
	readonly copiedServices: Set<string>;
	readonly copiedDomains: Set<FailureDomain>;
};

function editService(edit: IndexEdit, service: string): Map<BackendServerId, DirectoryServer> {
	const current = edit.services.get(service);
	if (current !== undefined && edit.copiedServices.has(service)) {
		return current;
	}

	const copy = new Map(current);
	edit.copiedServices.add(service);
	edit.services.set(service, copy);
	return copy;
}

function editDomain(edit: IndexEdit, domain: FailureDomain): Set<NodeId> {
	const current = edit.domains.get(domain);
	if (current !== undefined && edit.copiedDomains.has(domain)) {
		return current;
	}

	const copy = new Set(current);
	edit.copiedDomains.add(domain);
	edit.domains.set(domain, copy);
	return copy;
}

function indexRecord(edit: IndexEdit, before: NodeRecord | undefined, after: NodeRecord): void {
	for (const server of before?.servers ?? []) {
		editService(edit, server.service).delete(server.id);
	}

	if (isUsable(after)) {
		for (const server of after.servers) {
			editService(edit, server.service).set(server.id, {server, node: after});
		}
	}

	if (before?.failureDomain !== after.failureDomain) {
		if (before !== undefined) {
			editDomain(edit, before.failureDomain).delete(before.id);
		}

		editDomain(edit, after.failureDomain).add(after.id);
	}
}

/**
 * Merges records into a directory.
 *
 * @param directory - The directory. It is not modified.
 * @param records - Records, possibly old, repeated or of unknown nodes.
 * @returns The merged directory, and the records that were newer than those in `directory`.
 * @internal
 */
export function mergeRecords(directory: Directory, records: readonly NodeRecord[]): DirectoryMerge {
	const newest = new Map<NodeId, NodeRecord>();
	for (const record of records) {
		const known = newest.get(record.id) ?? getRecord(directory, record.id);
		if (known === undefined || compareRecords(record, known) > 0) {
			newest.set(record.id, record);
		}
	}

	const changed = [...newest.values()];
	if (changed.length === 0) {
		return {directory, changed};
	}

	const edit: IndexEdit = {
		services: new Map(directory.services as ReadonlyMap<string, Map<BackendServerId, DirectoryServer>>),
		domains: new Map(directory.domains as ReadonlyMap<FailureDomain, Set<NodeId>>),
		copiedServices: new Set(),
		copiedDomains: new Set(),
	};
	for (const record of changed) {
		indexRecord(edit, getRecord(directory, record.id), record);
	}

	const tree = applyTreeChanges(directory.tree, changed.map(record => ({
		key: record.id,
		entry: {value: record, fingerprint: formatRecordFingerprint(record)},
	})));
	return {directory: {tree, services: edit.services, domains: edit.domains}, changed};
}

/**
 * Removes the records of nodes that died or left. Without this, the directory would grow with every replaced node.
 *
 * @param directory - The directory. It is not modified.
 * @param ids - The nodes to remove. Usable nodes are kept.
 * @returns The directory without these nodes.
 * @internal
 */
export function removeRecords(directory: Directory, ids: readonly NodeId[]): Directory {
	const tombstones = ids.flatMap(id => getRecord(directory, id) ?? []).filter(record => !isUsable(record));
	const domains = new Map(directory.domains);
	for (const record of tombstones) {
		domains.set(record.failureDomain, new Set([...domains.get(record.failureDomain) ?? []].filter(id => id !== record.id)));
	}

	return {
		tree: applyTreeChanges(directory.tree, tombstones.map(record => ({key: record.id, entry: undefined}))),
		services: directory.services,
		domains,
	};
}
