/**
 * Who is in which failure domain, in the order that trees and relays are
 * computed from. It is remembered until a record of the domain changes.
 *
 * @module
 */
import {type FailureDomain, type NodeId} from '../common/ids.js';
import {listDomainRecords, type Directory} from '../directory/directory.js';
import {type NodeRecord} from '../directory/node-record.js';
import {sortMembers} from '../distribution/distribution-tree.js';

/** @internal */
export type MemberList = {
	/** The alive members of a domain, in tree order. Suspects are left out: news must not wait for them. */
	readonly listOrder: (domain: FailureDomain) => readonly NodeId[];
	/** Everybody in a domain who may still be there, for heartbeats. */
	readonly listProbed: (domain: FailureDomain) => readonly NodeId[];
	readonly listDomains: () => readonly FailureDomain[];
	readonly handleChange: (records: readonly NodeRecord[]) => void;
};

type DomainView = {readonly order: readonly NodeId[]; readonly probed: readonly NodeId[]};

/**
 * @param getDirectory - The directory as it stands.
 * @returns The lists.
 * @internal
 */
export function createMemberList(getDirectory: () => Directory): MemberList {
	const views = new Map<FailureDomain, DomainView>();

	const getView = (domain: FailureDomain): DomainView => {
		const known = views.get(domain);
		if (known !== undefined) {
			return known;
		}

		const records = listDomainRecords(getDirectory(), domain);
		const view = {
			order: sortMembers(records.filter(record => record.status === 'alive').map(record => record.id)),
			probed: records.filter(record => record.status === 'alive' || record.status === 'suspect').map(record => record.id),
		};
		views.set(domain, view);
		return view;
	};

	return {
		listOrder: domain => getView(domain).order,
		listProbed: domain => getView(domain).probed,
		listDomains: () => [...getDirectory().domains.keys()],
		handleChange(records) {
			for (const {failureDomain} of records) {
				views.delete(failureDomain);
			}
		},
	};
}
