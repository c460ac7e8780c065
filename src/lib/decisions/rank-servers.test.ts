import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {createLoadView, estimateOutstanding, estimateSlotWaitMs} from './load-view.js';
import {rankServers, type Candidate} from './rank-servers.js';

const here = toFailureDomain('a');
const there = toFailureDomain('b');
const toKey = (id: string): LifetimeKey => toLifetimeKey({id: toBackendServerId(id), startedAt: 1});
const unknown = createLoadView().get(toKey('i-0'));

function createCandidate(id: string, changes: Partial<Candidate> = {}, view: Partial<Candidate['view']> = {}): Candidate {
	return {
		id: toBackendServerId(id),
		lifetime: toKey(id),
		node: toNodeId(`n-${id}`),
		gate: toAddress('10.0.0.1:1'),
		domain: here,
		isLocal: false,
		slots: 12,
		isCold: false,
		...changes,
		view: {
			...unknown, serviceMs: 100, ...view,
		},
	};
}

const rank = (candidates: readonly Candidate[], crossDomainPenaltyMs = 40): readonly string[] => rankServers(candidates, {
	domain: here, fastEnoughMs: 0, otherNodePenaltyMs: 35, crossDomainPenaltyMs, random: () => 0.5,
}).map(({id}) => id);

test('equally fast servers are ordered by distance: the own VM, then the own failure domain', () => {
	const servers = [createCandidate('far', {domain: there}), createCandidate('near'), createCandidate('own', {isLocal: true})];
	assert.deepEqual(rank(servers), ['own', 'near', 'far']);
});

test('a much faster or much less busy server goes first in any failure domain, except with the larger penalty of uploads', () => {
	const servers = [createCandidate('near', {}, {serviceMs: 300}), createCandidate('far', {domain: there})];
	assert.deepEqual(rank(servers), ['far', 'near']);
	assert.deepEqual(rank(servers, 400), ['near', 'far']);
	assert.deepEqual(rank([createCandidate('near', {}, {running: 12, waiting: 6}), createCandidate('far', {domain: there})]), ['far', 'near']);
});

test('cold servers, failing servers and servers with a long round-trip time go last', () => {
	assert.deepEqual(rank([createCandidate('cold', {isCold: true}), createCandidate('warm')]), ['warm', 'cold']);
	assert.deepEqual(rank([createCandidate('grey', {}, {failureShare: 0.4}), createCandidate('sound')]), ['sound', 'grey']);
	assert.deepEqual(rank([createCandidate('slow-node', {}, {roundTripMs: 300}), createCandidate('sound')]), ['sound', 'slow-node']);
});

test('of many servers the apparently best one does not get all requests, and slow ones get few', () => {
	const servers = Array.from({length: 40}, (_, index) => createCandidate(`i-${index}`, {domain: index < 14 ? here : there}, {serviceMs: index === 0 ? 70 : 100 + (index % 5)}));
	const slow = Array.from({length: 5}, (_, index) => createCandidate(`slow-${index}`, {}, {serviceMs: 400}));
	const first = new Map<string, number>();
	// A fixed pseudo-random sequence, so that each run has the same result.
	let seed = 1;
	const random = (): number => {
		seed = (seed * 48_271) % 2_147_483_647;
		return seed / 2_147_483_647;
	};

	const draws = 4000;
	for (let draw = 0; draw < draws; draw++) {
		const {id} = rankServers([...servers, ...slow], {
			domain: here, fastEnoughMs: 0, otherNodePenaltyMs: 35, crossDomainPenaltyMs: 40, random,
		})[0]!;
		first.set(id, (first.get(id) ?? 0) + 1);
	}

	assert.ok((first.get('i-0') ?? 0) < draws * 0.3, `the best one got ${first.get('i-0')}`);
	assert.ok(slow.every(({id}) => (first.get(id) ?? 0) < draws * 0.01));
});

test('the estimate includes requests sent and excludes requests ended since the last report of the gate', () => {
	const loads = createLoadView();
	const id = toKey('i-1');
	loads.recordStart(id);
	loads.recordReport(id, {running: 12, waiting: 6, serviceMs: 120}, 1000);
	loads.recordStart(id);
	assert.equal(estimateOutstanding(loads.get(id)), 19);
	assert.equal(estimateSlotWaitMs(loads.get(id), 12, 1000), 80);
	// In 50 ms five requests of 120 ms have ended on twelve slots.
	assert.equal(Math.round(estimateSlotWaitMs(loads.get(id), 12, 1050)), 30);
});

test('a server whose slots were all in use is not assumed to have a free one because time has passed', () => {
	const loads = createLoadView();
	const id = toKey('i-1');
	loads.recordReport(id, {running: 12, waiting: 0, serviceMs: 120}, 1000);
	assert.equal(estimateSlotWaitMs(loads.get(id), 12, 1300), 10);
	loads.recordReport(id, {running: 11, waiting: 0, serviceMs: 120}, 1300);
	assert.equal(estimateSlotWaitMs(loads.get(id), 12, 1300), 0);
});

test('removed servers are dropped once no request to them is in flight', () => {
	const loads = createLoadView();
	const id = toKey('i-1');
	loads.recordReport(id, {serviceMs: 120}, 0);
	loads.recordStart(id);
	loads.retain(() => false);
	assert.equal(loads.get(id).serviceMs, 120);
	loads.recordEnd(id);
	loads.retain(() => false);
	assert.equal(loads.get(id).serviceMs, 0);
});

test('property: every server is in the order once, and the estimate is never below the requests in flight of this node', () => {
	const view = fc.record({
		running: fc.nat(20), waiting: fc.nat(20), ownInFlight: fc.nat(20), ownInFlightAtReport: fc.nat(20), serviceMs: fc.nat(500), roundTripMs: fc.nat(500),
	});
	fc.assert(fc.property(fc.array(view, {maxLength: 8}), views => {
		const servers = views.map((changes, index) => createCandidate(`i-${index}`, {}, changes));
		assert.deepEqual([...rank(servers)].toSorted((left, right) => left.localeCompare(right)), servers.map(({id}) => id).toSorted((left, right) => left.localeCompare(right)));
		for (const server of servers) {
			assert.ok(estimateOutstanding(server.view) >= server.view.ownInFlight);
			assert.ok(estimateSlotWaitMs(server.view, server.slots, 1e9) >= 0);
		}
	}));
});

test('a fast server is left to nested calls, since for others a response that is fast enough is as good', () => {
	const servers = [createCandidate('fast', {domain: there}, {serviceMs: 50}), createCandidate('slow', {}, {serviceMs: 120})];
	const rankFor = (fastEnoughMs: number): string => rankServers(servers, {
		domain: here, otherNodePenaltyMs: 5, crossDomainPenaltyMs: 10, fastEnoughMs, random: () => 0,
	})[0]!.id;
	assert.equal(rankFor(0), 'fast');
	assert.equal(rankFor(175), 'slow');
	// With a lower threshold, the slow server is not fast enough.
	assert.equal(rankFor(100), 'fast');
});

test('the known load of one lifetime of a server is not used for the next one', () => {
	const loads = createLoadView();
	const id = toBackendServerId('i-1');
	const [before, after] = [toLifetimeKey({id, startedAt: 1}), toLifetimeKey({id, startedAt: 2})];
	loads.recordStart(before);
	loads.recordReport(before, {
		running: 12, waiting: 6, serviceMs: 900, failureShare: 1,
	}, 1000);
	loads.recordRoundTrip(before, 'logs', 500);
	assert.deepEqual(loads.get(after, 'logs'), unknown);
	loads.recordStart(after);
	loads.recordEnd(before);
	assert.equal(loads.get(after).ownInFlight, 1);
});
