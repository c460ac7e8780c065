/**
 * A sample report for tests.
 *
 * @module
 */
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {type PeerReport} from './peer-report.js';

/**
 * Creates the report of a node `n2` with a server that is ready.
 *
 * @param changes - Fields that differ from the sample.
 * @returns The report.
 * @internal
 */
export function createSampleReport(changes: Partial<PeerReport> = {}): PeerReport {
	return {
		node: toNodeId('n2'), run: 'r1', sequence: 1, domain: toFailureDomain('a'), gate: toAddress('10.0.0.2:1'), gossip: toAddress('10.0.0.2:2'), version: 3, isLeaving: false,
		server: {
			lifetime: {id: toBackendServerId('i-1'), startedAt: 1_764_723_600_123}, service: 'logview',
			slots: 12, state: 'ready', coldMs: 0, running: 3, waiting: 1, serviceMs: 80, failureShare: 0.125, version: 'v1',
		},
		duties: {
			linkMbps: 1000, isFollowing: true, storeSeenMs: 300, storeEra: 1,
		},
		periods: {ownDomainMs: 400, otherDomainMs: 400},
		isProbe: false,
		suspects: [],
		departures: [],
		...changes,
	};
}
