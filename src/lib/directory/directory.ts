/**
 * Every node and backend server of the mesh, as this node knows them.
 *
 * Records merge by rule, so it does not matter in which order, how often or by
 * which way they arrive; two directories that saw the same records are equal.
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

/** A backend server with the node that stands in front of it. @public */
export type DirectoryServer = {
	readonly server: BackendServer;
	readonly node: NodeRecord;
};

/** An immutable state of the directory. @internal */
export type Directory = {
	readonly tree: DigestTree<NodeRecord>;
	/** Usable servers by service, then by id. */
	readonly services: ReadonlyMap<string, ReadonlyMap<BackendServerId, DirectoryServer>>;
	/** Nodes by failure domain. */
	readonly domains: ReadonlyMap<FailureDomain, ReadonlySet<NodeId>>;
};

/** The directory after a merge, and the records that were new to it. @internal */
export type DirectoryMerge = {
	readonly directory: Directory;
	readonly changed: readonly NodeRecord[];
};

/**
 * @returns A directory that knows nobody.
 * @internal
 */
export function createDirectory(): Directory {
	return {tree: createDigestTree(), services: new Map(), domains: new Map()};
}

/**
 * @param directory - Where to look.
 * @param id - The node.
 * @returns Its record, or `undefined`.
 * @internal
 */
export function getRecord(directory: Directory, id: NodeId): NodeRecord | undefined {
	return getTreeValue(directory.tree, id);
}

/**
 * @param directory - What to list.
 * @returns Every record, the dead ones included.
 * @internal
 */
export function listRecords(directory: Directory): readonly NodeRecord[] {
	return listTreeValues(directory.tree);
}

/**
 * @param directory - Where to look.
 * @param domain - A failure domain.
 * @returns The records of its nodes.
 * @internal
 */
export function listDomainRecords(directory: Directory, domain: FailureDomain): readonly NodeRecord[] {
	return [...directory.domains.get(domain) ?? []].flatMap(id => getRecord(directory, id) ?? []);
}

/**
 * @param directory - Where to look.
 * @param service - A service.
 * @returns The servers that announced themselves for it and whose nodes are not known to be gone.
 * @internal
 */
export function listServers(directory: Directory, service: string): readonly DirectoryServer[] {
	return [...directory.services.get(service)?.values() ?? []];
}

/** The indexes while one merge changes them: only what is touched is copied, and once. */
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
 * @param directory - The directory; it stays as it is.
 * @param records - Records, perhaps old, repeated or of nodes not heard of before.
 * @returns The merged directory and the records that were newer than what it held.
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
 * Forgets nodes that have been gone for long, so that the directory does not grow with every replacement.
 *
 * @param directory - The directory; it stays as it is.
 * @param ids - Nodes that are dead or left.
 * @returns The smaller directory.
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
