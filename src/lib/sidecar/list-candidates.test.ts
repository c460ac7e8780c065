import assert from 'node:assert/strict';
import test from 'node:test';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {type ServerReport} from '../peers/peer-report.js';
import {type Peer, type PeerLimits} from '../peers/peer-table.js';
import {createSampleReport} from '../peers/sample-report.js';
import {createLoadView} from '../decisions/load-view.js';
import {listCandidates, type CandidateSources} from './list-candidates.js';

const limits: PeerLimits = {
	silenceMs: 1000, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: () => 400,
};
const sample = createSampleReport();
const server: ServerReport = sample.server!;

function createPeer(name: string, report: Partial<Peer['report']> = {}, changes: Partial<Peer> = {}): Peer {
	return {
		report: {
			...sample, node: toNodeId(name), server: {...server, id: toBackendServerId(`i-${name}`)}, ...report,
		}, heardAt: 5000, periodMs: 380, probedAt: undefined, avoidUntil: 0, failures: 0, oldRuns: [], ...changes,
	};
}

function list(peers: readonly Peer[], own: ServerReport | undefined = undefined): readonly string[] {
	const sources: CandidateSources = {
		own: {
			node: toNodeId('n0'), gate: toAddress('10.0.0.1:1'), domain: toFailureDomain('a'), server: own,
		},
		peers, limits, loads: createLoadView(),
	};
	return listCandidates('logview', 'logs', sources, 5500).map(({id, isLocal}) => isLocal ? `own ${id}` : id);
}

test('only servers of the service that are ready, beside nodes that can be reached, may be chosen', () => {
	assert.deepEqual(list([
		createPeer('ready'),
		createPeer('silent', {}, {heardAt: 4000}),
		createPeer('avoided', {}, {avoidUntil: 6000}),
		createPeer('leaving', {isLeaving: true}),
		createPeer('draining', {server: {...server, state: 'draining'}}),
		createPeer('other', {server: {...server, service: 'hall'}}),
		createPeer('none', {server: undefined}),
	]), ['i-ready']);
});

test('the own server is one of them, unless it is not ready', () => {
	assert.deepEqual(list([createPeer('ready')], server), ['own i-1', 'i-ready']);
	assert.deepEqual(list([], {...server, state: 'draining'}), []);
	assert.deepEqual(list([], {...server, service: 'hall'}), []);
});
