import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {toLifetimeKey, type ServerLifetime} from '../common/server-lifetime.js';
import {type ServerReport} from '../peers/peer-report.js';
import {type Peer, type PeerLimits} from '../peers/peer-table.js';
import {createSampleReport} from '../peers/sample-report.js';
import {createLeavingServers} from '../server-notices/leaving-servers.js';
import {createLoadView} from '../decisions/load-view.js';
import {listCandidates, type CandidateSources} from './list-candidates.js';

const limits: PeerLimits = {
	silenceMs: 1000, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: () => 400,
};
const sample = createSampleReport();
const server: ServerReport = sample.server!;
const toLifetime = (id: string): ServerLifetime => ({...server.lifetime, id: toBackendServerId(id)});

function createPeer(name: string, report: Partial<Peer['report']> = {}, changes: Partial<Peer> = {}): Peer {
	return {
		report: {
			...sample, node: toNodeId(name), server: {...server, lifetime: toLifetime(`i-${name}`)}, ...report,
		}, reportedAt: 5000, heardAt: 5000, periodMs: 380, probedAt: undefined, avoidUntil: 0, consecutiveFailures: 0, previousRuns: [], ...changes,
	};
}

type ListOptions = {
	readonly own?: ServerReport;
	readonly tried?: readonly string[];
	readonly random?: () => number;
};

function list(peers: readonly Peer[], {own, tried = [], random = () => 0.5}: ListOptions = {}): readonly string[] {
	const domain = toFailureDomain('a');
	const sources: CandidateSources = {
		own: {
			node: toNodeId('n0'), gate: toAddress('10.0.0.1:1'), domain, server: own,
		},
		peers: {ownDomain: peers.filter(({report}) => report.domain === domain), otherDomains: peers.filter(({report}) => report.domain !== domain)},
		limits, loads: createLoadView(), leaving: createLeavingServers(), random,
	};
	const query = {service: 'logview', route: 'logs', tried: new Set(tried.map(id => toLifetimeKey(toLifetime(id))))};
	return listCandidates(query, sources, 5500).map(({id, isLocal}) => isLocal ? `own ${id}` : id);
}

test('only ready servers of the service beside reachable nodes are listed', () => {
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

test('the server beside this node is listed if it is ready and belongs to the service', () => {
	assert.deepEqual(list([createPeer('ready')], {own: server}), ['own i-1', 'i-ready']);
	assert.deepEqual(list([], {own: {...server, state: 'draining'}}), []);
	assert.deepEqual(list([], {own: {...server, service: 'hall'}}), []);
});

test('a server that was already tried is not listed', () => {
	assert.deepEqual(list([createPeer('first'), createPeer('second')], {tried: ['i-first']}), ['i-second']);
	assert.deepEqual(list([createPeer('first')], {own: server, tried: ['i-1']}), ['i-first']);
});

test('a large service is sampled from the own failure domain and from the others, without duplicates', () => {
	const peers = Array.from({length: 600}, (_, index) => createPeer(`n${index}`, {domain: toFailureDomain(index < 120 ? 'a' : 'b')}));
	const found = list(peers, {random: Math.random});
	assert.equal(new Set(found).size, found.length);
	assert.equal(found.length, 8);
	const own = new Set(peers.slice(0, 120).map(({report}) => `i-${report.node}`));
	assert.equal(found.filter(id => own.has(id)).length, 4);
});

test('property: the only server that is left of a service is found', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 300}), fc.nat(), fc.double({min: 0, max: 0.999, noNaN: true}), (size, place, drawn) => {
		const left = place % size;
		const peers = Array.from({length: size}, (_, index) => createPeer(`n${index}`, {domain: toFailureDomain(index % 2 === 0 ? 'a' : 'b')}, index === left ? {} : {heardAt: 0}));
		assert.deepEqual(list(peers, {random: () => drawn}), [`i-n${left}`]);
	}));
});

// Guards against a gate that holds back less urgent requests of its own node forever, since the view of the own server is always of the current time.
test('the priorities that the gate of this node accepts are those of its current report, not those of an earlier answer', () => {
	const loads = createLoadView();
	loads.recordReport(toLifetimeKey(server.lifetime), {leastUrgent: 0, waitingByPriority: [3]}, 1000);
	const listOwn = (own: ServerReport): ReadonlyArray<readonly [number | undefined, readonly number[] | undefined]> => listCandidates({service: 'logview', route: 'logs', tried: new Set()}, {
		own: {
			node: toNodeId('n0'), gate: toAddress('10.0.0.1:1'), domain: toFailureDomain('a'), server: own,
		},
		peers: {ownDomain: [], otherDomains: []}, limits, loads, leaving: createLeavingServers(), random: () => 0.5,
	}, 5500).map(({view}) => [view.leastUrgent, view.waitingByPriority]);
	assert.deepEqual(listOwn(server), [[undefined, undefined]]);
	assert.deepEqual(listOwn({...server, leastUrgent: 1, waitingByPriority: [0, 2]}), [[1, [0, 2]]]);
});
