/**
 * Pushes the record of this node to a few other nodes at once, so that what it
 * acknowledges is known outside this process. The distribution tree takes
 * longer.
 *
 * @module
 */
import {waitFor} from '../common/clock.js';
import {type FailureDomain, type NodeId} from '../common/ids.js';
import {settle} from '../common/settle.js';
import {getRecord} from '../directory/directory.js';
import {type DirectoryKeeper} from '../directory/directory-keeper.js';
import {type MemberList} from '../membership/member-list.js';
import {type LamportClock} from '../timeline/lamport-clock.js';
import {type Distributor} from './distributor.js';
import {type Peers} from './peers.js';
import {encodeRecord} from './wire.js';

/** @internal */
export type OwnRecordPusherContext = {
	readonly self: NodeId;
	readonly domain: FailureDomain;
	readonly directory: Pick<DirectoryKeeper, 'getDirectory' | 'getOwnRecord'>;
	readonly members: Pick<MemberList, 'listAliveMembers'>;
	readonly distributor: Pick<Distributor, 'listOtherDomainRelays'>;
	readonly peers: Pick<Peers, 'getClient'>;
	readonly clock: LamportClock;
};

/** Number of nodes that get the record. A restarting node asks the first members of its failure domain, and several others. */
const maxTargetCount = 3;

/** How long a push may take; what waits for it is a request of a backend server or an operator. */
const pushTimeoutMs = 500;

/**
 * @param context - The record of this node, and the other nodes.
 * @returns A function that pushes the record; it resolves with whether another node has received it.
 * @internal
 */
export function createOwnRecordPusher({self, domain, directory, members, distributor, peers, clock}: OwnRecordPusherContext): () => Promise<boolean> {
	const listTargets = () => {
		const ownDomain = members.listAliveMembers(domain).filter(member => member !== self).flatMap(member => getRecord(directory.getDirectory(), member) ?? []);
		return [...ownDomain, ...distributor.listOtherDomainRelays()].slice(0, maxTargetCount);
	};

	return async () => {
		const request = {eventTime: BigInt(clock.getTime()), from: self, records: [encodeRecord(directory.getOwnRecord())]};
		const pushes = listTargets().map(async ({controlAddress}) => settle(peers.getClient(controlAddress).pushRecords(request, {timeoutMs: pushTimeoutMs})));
		const ended = new AbortController();
		const replies = await Promise.race([Promise.all(pushes), waitFor(pushTimeoutMs, ended.signal)]);
		ended.abort();
		return replies?.some(reply => reply !== undefined) ?? false;
	};
}
