import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toNodeId} from '../common/ids.js';
import {isRelay, type DomainNode} from './relay-duty.js';

function createNode(name: string, changes: Partial<DomainNode> = {}): DomainNode {
	return {
		node: toNodeId(name), linkMbps: 7, isFollowing: false, storeSeenMs: 300, heardMsAgo: 100, periodMs: 400, ...changes,
	};
}

const createDomain = (count: number): readonly DomainNode[] => Array.from({length: count}, (_, index) => createNode(`n${String(index).padStart(3, '0')}`));

/** Returns the names of the relays if each node decides by the reports of all others. Runs two rounds, since the relays of the first round are visible only in the second. */
function listRelays(nodes: readonly DomainNode[], domains = 1): readonly string[] {
	const decide = (all: readonly DomainNode[]): readonly DomainNode[] =>
		all.map(self => ({...self, isFollowing: isRelay(self, all.filter(other => other !== self), domains)}));
	return decide(decide(nodes)).filter(({isFollowing}) => isFollowing).map(({node}) => node);
}

test('all nodes of a small failure domain are relays, and four of a large one', () => {
	assert.equal(listRelays(createDomain(4)).length, 4);
	assert.equal(listRelays(createDomain(25)).length, 4);
	assert.equal(listRelays(createDomain(400)).length, 4);
});

test('the number of relays per failure domain decreases with the number of failure domains, down to two', () => {
	const count = (domains: number): number => listRelays(createDomain(25), domains).length;
	assert.deepEqual([3, 4, 5, 40].map(domains => count(domains)), [4, 3, 2, 2]);
});

test('nodes with faster links are preferred as relays', () => {
	const nodes = createDomain(25).map((node, index) => index === 20 || index === 24 ? {...node, linkMbps: 140} : node);
	assert.deepEqual(listRelays(nodes).slice(-2), ['n020', 'n024']);
});

test('a node without access to the store is replaced by the next', () => {
	const nodes = createDomain(25).map((node, index) => index < 3 ? {...node, storeSeenMs: undefined} : node);
	const relays = listRelays(nodes);
	assert.deepEqual(relays.filter(name => name >= 'n003'), ['n003', 'n004', 'n005', 'n006']);
});

test('a node without a fresh relay among the others becomes a relay itself', () => {
	const self = createNode('n900');
	const others = createDomain(10).map(node => ({...node, isFollowing: true}));
	assert.equal(isRelay(self, others, 1), false);
	assert.equal(isRelay(self, others.map(node => ({...node, storeSeenMs: 1650})), 1), true);
	assert.equal(isRelay(self, others.map(node => ({...node, isFollowing: false})), 1), true);
	assert.equal(isRelay(self, [], 1), true);
	// If a failure domain is so large that heartbeats arrive only every 1.2 s, a relay still counts as fresh when its last report is older.
	const seldom = others.map(node => ({
		...node, storeSeenMs: 1100, heardMsAgo: 1150, periodMs: 1200,
	}));
	assert.equal(isRelay(self, seldom, 1), false);
	assert.equal(isRelay(self, seldom.map(node => ({...node, heardMsAgo: 1500})), 1), true);
});

test('property: if any node reaches the store, one of these is a relay, and there are at most eight relays', () => {
	const node = fc.record({linkMbps: fc.constantFrom(7, 140), storeSeenMs: fc.constantFrom(undefined, 100, 900)});
	fc.assert(fc.property(fc.array(node, {minLength: 12, maxLength: 30}), list => {
		const nodes = list.map((changes, index) => createNode(`n${String(index).padStart(3, '0')}`, changes));
		const relays = new Set(listRelays(nodes));
		const reaching = nodes.filter(({storeSeenMs}) => storeSeenMs !== undefined);
		assert.ok(reaching.length === 0 || reaching.some(one => relays.has(one.node)));
		assert.ok(relays.size <= 8);
	}));
});

/** Reference implementation: counts all nodes that precede this one, and looks for a fresh relay among all. */
function isRelayByDefinition(self: DomainNode, others: readonly DomainNode[], relays: number): boolean {
	const countBefore = (nodes: readonly DomainNode[]): number => nodes.filter(({linkMbps, node}) => linkMbps > self.linkMbps || (linkMbps === self.linkMbps && node < self.node)).length;
	if (self.storeSeenMs === undefined) {
		return countBefore(others) < relays;
	}

	const isFresh = ({isFollowing, storeSeenMs, heardMsAgo}: DomainNode): boolean => isFollowing && storeSeenMs !== undefined && storeSeenMs + heardMsAgo <= 1700;
	return countBefore(others.filter(({storeSeenMs}) => storeSeenMs !== undefined)) < relays || !others.some(other => isFresh(other));
}

test('property: the result is the same as that of the reference implementation, which does not return early', () => {
	const node = fc.record({
		linkMbps: fc.constantFrom(7, 140), storeSeenMs: fc.constantFrom(undefined, 100, 900, 1650), isFollowing: fc.boolean(), heardMsAgo: fc.constantFrom(20, 100, 900),
	});
	fc.assert(fc.property(fc.array(node, {minLength: 1, maxLength: 30}), fc.nat(29), (list, index) => {
		const nodes = list.map((changes, place) => createNode(`n${String(place).padStart(3, '0')}`, changes));
		const self = nodes[index % nodes.length]!;
		const others = nodes.filter(other => other !== self);
		assert.equal(isRelay(self, others, 1), isRelayByDefinition(self, others, 4));
	}), {numRuns: 500});
});
