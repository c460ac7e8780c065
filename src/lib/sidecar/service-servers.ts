/**
 * Lists the servers of a service that other nodes report, for rollouts, and sends
 * the outcomes at the own server to the nodes that judge its version.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {type PeerLink} from '../peers/peer-link.js';
import {isHeard, isReachable, type PeerLimits} from '../peers/peer-table.js';
import {type KnownServer} from '../rollout/rollout-decider.js';

/** @internal */
export type ServiceServers = {
	/** Lists the servers of a service beside other nodes. */
	readonly list: (service: string) => readonly KnownServer[];
	/** Sends a report immediately to the nodes beside these servers of a service. */
	readonly announceTo: (service: string, servers: ReadonlySet<LifetimeKey>) => void;
};

/**
 * @param getLink - Returns the link to the other nodes, which is created after the rollouts.
 * @param limits - The time limits of silence.
 * @returns The servers beside other nodes.
 * @internal
 */
export function createServiceServers(getLink: () => Pick<PeerLink, 'table' | 'announceTo'>, limits: PeerLimits): ServiceServers {
	return {
		list(service) {
			const now = readSteadyMs();
			const {ownDomain, otherDomains} = getLink().table.listService(service);
			return [...ownDomain, ...otherDomains].flatMap(peer => {
				const {server} = peer.report;
				return server === undefined ? [] : [{server, isHeard: isHeard(peer, limits, now), isReachable: isReachable(peer, limits, now)}];
			});
		},
		announceTo(service, servers) {
			if (servers.size > 0) {
				const {ownDomain, otherDomains} = getLink().table.listService(service);
				getLink().announceTo([...ownDomain, ...otherDomains].filter(({report: {server}}) => server !== undefined && servers.has(toLifetimeKey(server.lifetime))));
			}
		},
	};
}
