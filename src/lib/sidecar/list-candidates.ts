/**
 * Lists the backend servers of a service that a call may be sent to now: the
 * one beside this node and those beside nodes that can be reached.
 *
 * @module
 */
import {type Address, type FailureDomain, type NodeId} from '../common/ids.js';
import {type ServerReport} from '../peers/peer-report.js';
import {isReachable, type Peer, type PeerLimits} from '../peers/peer-table.js';
import {type LoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';

/** Where this node stands, and the server beside it. @internal */
export type OwnPlace = {
	readonly node: NodeId;
	readonly gate: Address;
	readonly domain: FailureDomain;
	/** `undefined` if there is none, or if it takes nothing new. */
	readonly server: ServerReport | undefined;
};

/** @internal */
export type CandidateSources = {
	readonly own: OwnPlace;
	readonly peers: Iterable<Peer>;
	readonly limits: PeerLimits;
	readonly loads: LoadView;
};

/** What the own gate says is exact and of this moment. */
function describeOwn({own, loads}: CandidateSources, server: ServerReport, route: string, now: number): Candidate {
	const {running, waiting, serviceMs, failureShare} = server;
	return {
		id: server.id, node: own.node, gate: own.gate, domain: own.domain, isLocal: true, slots: server.slots, isCold: server.coldMs > 0,
		view: {
			...loads.get(server.id, route), running, waiting, serviceMs, failureShare, own: 0, ownThen: 0, wayMs: 0, heardAt: now,
		},
	};
}

/**
 * @param service - The service.
 * @param route - Route of the request.
 * @param sources - What is known of servers and nodes.
 * @param now - Steady milliseconds.
 * @returns Its servers that are ready, in no particular order.
 * @internal
 */
export function listCandidates(service: string, route: string, sources: CandidateSources, now: number): readonly Candidate[] {
	const {own, peers, limits, loads} = sources;
	const candidates: Candidate[] = [];
	if (own.server?.service === service && own.server.state === 'ready') {
		candidates.push(describeOwn(sources, own.server, route, now));
	}

	for (const peer of peers) {
		const {server, node, gate, domain} = peer.report;
		if (server?.service === service && server.state === 'ready' && isReachable(peer, limits, now)) {
			candidates.push({
				id: server.id, node, gate, domain, isLocal: false, slots: server.slots, isCold: server.coldMs > 0, view: loads.get(server.id, route),
			});
		}
	}

	return candidates;
}
