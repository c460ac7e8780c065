/**
 * Caches the members of each failure domain, in the order from which the
 * distribution tree and its relay are computed. A change of a record
 * invalidates the entry of its domain.
 *
 * @module
 */
import {type FailureDomain, type NodeId} from '../common/ids.js';
import {listDomainRecords, type Directory} from '../directory/directory.js';
import {type NodeRecord} from '../directory/node-record.js';
import {sortMembers} from '../distribution/distribution-tree.js';

/** @internal */
export type MemberList = {
	/** Returns the alive members of a domain, in tree order. Suspects are left out, so that distribution does not wait for them. */
	readonly listAliveMembers: (domain: FailureDomain) => readonly NodeId[];
	/** Returns the members of a domain that heartbeats are sent to: the alive and the suspect ones. */
	readonly listProbeTargets: (domain: FailureDomain) => readonly NodeId[];
	/** Returns all failure domains of the directory. */
	readonly listDomains: () => readonly FailureDomain[];
	/** Invalidates the cached members of the domains of these records. */
	readonly handleChange: (records: readonly NodeRecord[]) => void;
};

type DomainMembers = {readonly aliveMembers: readonly NodeId[]; readonly probeTargets: readonly NodeId[]};

/**
 * Creates the member list of a directory.
 *
 * @param getDirectory - Returns the current directory.
 * @returns The member list.
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
