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
	readonly listAliveMembers: (domain: FailureDomain) => readonly NodeId[];
	/** Everybody in a domain who may still be there, for heartbeats. */
	readonly listProbeTargets: (domain: FailureDomain) => readonly NodeId[];
	readonly listDomains: () => readonly FailureDomain[];
	readonly handleChange: (records: readonly NodeRecord[]) => void;
};

type DomainMembers = {readonly aliveMembers: readonly NodeId[]; readonly probeTargets: readonly NodeId[]};

/**
 * @param getDirectory - The directory as it stands.
 * @returns The lists.
 * @internal
 */
export function createMemberList(getDirectory: () => Directory): MemberList {
	const membersByDomain = new Map<FailureDomain, DomainMembers>();

	const getMembers = (domain: FailureDomain): DomainMembers => {
		const known = membersByDomain.get(domain);
		if (known !== undefined) {
			return known;
		}

		const records = listDomainRecords(getDirectory(), domain);
		const members = {
			aliveMembers: sortMembers(records.filter(record => record.status === 'alive').map(record => record.id)),
			probeTargets: records.filter(record => record.status === 'alive' || record.status === 'suspect').map(record => record.id),
		};
		membersByDomain.set(domain, members);
		return members;
	};

	return {
		listAliveMembers: domain => getMembers(domain).aliveMembers,
		listProbeTargets: domain => getMembers(domain).probeTargets,
		listDomains: () => [...getDirectory().domains.keys()],
		handleChange(records) {
			for (const {failureDomain} of records) {
				membersByDomain.delete(failureDomain);
			}
		},
	};
}
