import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toAddress, toFailureDomain, toNodeId} from '../common/ids.js';
import {type PeerReport} from './peer-report.js';
import {createSampleReport} from './sample-report.js';
import {
	createPeerTable, isHeard, isReachable, type PeerLimits, type PeerTable,
} from './peer-table.js';

const limits: PeerLimits = {
	silenceMs: 900, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: ({periods}) => periods.otherDomainMs,
};
const n2 = toNodeId('n2');

/** Heartbeat periods of which more than two fit into `silenceMs`. */
const frequentPeriods = {ownDomainMs: 300, otherDomainMs: 300};

const createTable = (): PeerTable => createPeerTable(toFailureDomain('a'), limits);

const acceptReport = (table: PeerTable, report: PeerReport, now: number) => table.acceptReport({...report, periods: frequentPeriods}, now);

test('late and repeated reports are ignored', () => {
	const table = createTable();
	acceptReport(table, createSampleReport({sequence: 5, version: 4}), 100);
	assert.equal(acceptReport(table, createSampleReport({sequence: 4, version: 3}), 900), 'none');
	assert.equal(table.get(n2)?.heardAt, 100);
	assert.equal(table.get(n2)?.report.version, 4);
	assert.equal(acceptReport(table, createSampleReport({sequence: 5}), 900), 'none');
});

test('a restarted node is distinguished from its earlier run, whose late reports are ignored', () => {
	const table = createTable();
	acceptReport(table, createSampleReport({sequence: 50}), 0);
	assert.equal(acceptReport(table, createSampleReport({run: 'r2', sequence: 1}), 100), 'restarted');
	assert.equal(acceptReport(table, createSampleReport({run: 'r1', sequence: 51}), 200), 'none');
	assert.equal(table.get(n2)?.report.run, 'r2');
});

test('a silent node gets no requests, and gets them again once it is heard', () => {
	const table = createTable();
	acceptReport(table, createSampleReport(), 0);
	assert.equal(isReachable(table.get(n2)!, limits, 900), true);
	assert.equal(isReachable(table.get(n2)!, limits, 901), false);
	assert.equal(acceptReport(table, createSampleReport({sequence: 2}), 5000), 'returned');
	assert.equal(isReachable(table.get(n2)!, limits, 5001), true);
});

test('a node with a longer heartbeat period counts as silent later, unless it does not answer a probe in time', () => {
	const seldom = createSampleReport({periods: {ownDomainMs: 400, otherDomainMs: 2000}});
	const table = createTable();
	table.acceptReport(seldom, 0);
	assert.equal(isHeard(table.get(n2)!, limits, 5200), true);
	assert.equal(isHeard(table.get(n2)!, limits, 5201), false);
	table.noteProbed(n2, 1500);
	// A second probe does not extend the time to answer.
	table.noteProbed(n2, 2000);
	assert.equal(isHeard(table.get(n2)!, limits, 2150), true);
	assert.equal(isHeard(table.get(n2)!, limits, 2151), false);
	assert.equal(table.acceptReport({...seldom, sequence: 2}, 2200), 'returned');
	assert.equal(isHeard(table.get(n2)!, limits, 7000), true);
	// A pause of this node does not count as silence of the other.
	table.noteProbed(n2, 2300);
	table.recordPause(3000);
	assert.equal(isHeard(table.get(n2)!, limits, 5900), true);
	assert.equal(isHeard(table.get(n2)!, limits, 5951), false);
});

test('a report that differs only in the version is distinguished from one that differs in the server', () => {
	const table = createTable();
	acceptReport(table, createSampleReport(), 0);
	assert.equal(acceptReport(table, createSampleReport({sequence: 2, version: 9}), 100), 'version');
	assert.equal(acceptReport(table, createSampleReport({sequence: 3, version: 9, server: undefined}), 100), 'changed');
});

test('a node that is heard but cannot be reached is avoided with an exponential backoff', () => {
	const table = createTable();
	acceptReport(table, createSampleReport(), 0);
	table.noteUnreachable(n2, 0);
	assert.equal(isReachable(table.get(n2)!, limits, 249), false);
	assert.equal(isReachable(table.get(n2)!, limits, 250), true);
	table.noteUnreachable(n2, 250);
	assert.equal(table.get(n2)?.avoidUntil, 750);
	// Several requests that fail at the same time count as one failure.
	table.noteUnreachable(n2, 251);
	assert.equal(table.get(n2)?.avoidUntil, 750);
	assert.equal(table.get(n2)?.consecutiveFailures, 2);
	table.noteReached(n2, 260);
	assert.equal(isReachable(table.get(n2)!, limits, 300), true);
	table.noteUnreachable(n2, 300);
	assert.equal(table.get(n2)?.avoidUntil, 550);
});

test('after a pause of this node, other nodes do not count as silent', () => {
	const table = createTable();
	acceptReport(table, createSampleReport(), 0);
	assert.equal(isReachable(table.get(n2)!, limits, 4100), false);
	table.recordPause(4000);
	assert.equal(isReachable(table.get(n2)!, limits, 4100), true);
});

test('an answer to a request counts as heard, also from a node that did not answer a probe', () => {
	const table = createTable();
	acceptReport(table, createSampleReport(), 0);
	table.noteProbed(n2, 600);
	assert.equal(isHeard(table.get(n2)!, limits, 1251), false);
	table.noteReached(n2, 1300);
	// The answer carries no report, so `reportedAt` stays.
	assert.equal(table.get(n2)?.reportedAt, 0);
	assert.equal(isHeard(table.get(n2)!, limits, 2200), true);
	assert.equal(isHeard(table.get(n2)!, limits, 2201), false);
});

test('a node that leaves gets no requests, and a node that is silent for long is forgotten', () => {
	const table = createTable();
	acceptReport(table, createSampleReport({isLeaving: true}), 0);
	assert.equal(isReachable(table.get(n2)!, limits, 1), false);
	assert.deepEqual(table.dropSilent(60_000), []);
	assert.deepEqual(table.dropSilent(60_001), [n2]);
	assert.equal(table.size, 0);
	assert.equal(table.findByGate(createSampleReport().gate), undefined);
	assert.equal(table.hasGossipAddress(createSampleReport().gossip), false);
});

test('an address that a newer node reuses still belongs to it after the older node is forgotten', () => {
	const table = createTable();
	acceptReport(table, createSampleReport({node: toNodeId('old')}), 0);
	acceptReport(table, createSampleReport({node: toNodeId('new')}), 30_000);
	table.dropSilent(60_001);
	assert.equal(table.findByGate(createSampleReport().gate)?.report.node, 'new');
	assert.equal(table.hasGossipAddress(createSampleReport().gossip), true);
});

test('property: in any order and with any repetition of reports, the newest report of each run remains', () => {
	const report = fc.record({run: fc.constantFrom('r1', 'r2'), sequence: fc.integer({min: 1, max: 9}), version: fc.integer({min: 0, max: 9})});
	fc.assert(fc.property(fc.array(report, {maxLength: 30}), reports => {
		const table = createTable();
		const seen = new Map<string, number>();
		for (const [now, changes] of reports.entries()) {
			const before = table.get(n2)?.report;
			acceptReport(table, createSampleReport(changes), now);
			const after = table.get(n2)!.report;
			if (before?.run === after.run) {
				assert.ok(after.sequence >= before.sequence);
			}

			assert.ok((seen.get(after.run) ?? 0) <= after.sequence);
			seen.set(after.run, after.sequence);
		}
	}));
});

const reportServer = (node: string, startedAt: number, changes: Partial<PeerReport> = {}): PeerReport => {
	const sample = createSampleReport();
	return createSampleReport({
		node: toNodeId(node), gate: toAddress(`10.0.0.${node.slice(1)}:1`), gossip: toAddress(`10.0.0.${node.slice(1)}:2`),
		server: {...sample.server!, lifetime: {...sample.server!.lifetime, startedAt}}, ...changes,
	});
};

const listStarts = (table: PeerTable): readonly unknown[] => table.listService('logview').ownDomain.map(({report}) => `${report.node} ${report.server?.lifetime.startedAt}`);

test('a later lifetime beside another node replaces the earlier one, whose further reports are ignored', () => {
	const table = createTable();
	acceptReport(table, reportServer('n2', 1000), 0);
	assert.equal(acceptReport(table, reportServer('n3', 2000), 100), 'joined');
	assert.deepEqual(listStarts(table), ['n3 2000']);
	acceptReport(table, reportServer('n2', 1000, {sequence: 2}), 200);
	assert.deepEqual(listStarts(table), ['n3 2000']);
	assert.equal(table.get(n2)?.report.server, undefined);
	// The node beside the later lifetime is silent now, so reports of the earlier one are accepted again.
	acceptReport(table, reportServer('n2', 1000, {sequence: 3}), 5000);
	assert.deepEqual(listStarts(table), ['n3 2000', 'n2 1000']);
});

test('lifetimes reported by one node are applied in order, regardless of their start times', () => {
	const table = createTable();
	acceptReport(table, reportServer('n2', 2000), 0);
	assert.equal(acceptReport(table, reportServer('n2', 1000, {sequence: 2}), 100), 'changed');
	assert.deepEqual(listStarts(table), ['n2 1000']);
	assert.equal(acceptReport(table, reportServer('n2', 2000), 200), 'none');
	assert.deepEqual(listStarts(table), ['n2 1000']);
});

test('property: after any reports and removals, the lists by service and failure domain match a scan over all nodes', () => {
	const server = createSampleReport().server!;
	const change = fc.record({
		node: fc.integer({min: 0, max: 5}), domain: fc.constantFrom('a', 'b'), service: fc.constantFrom('x', 'y', undefined), gate: fc.integer({min: 1, max: 8}), isLate: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(change, {maxLength: 40}), changes => {
		const table = createTable();
		let now = 0;
		for (const [sequence, {node, domain, service, gate, isLate}] of changes.entries()) {
			now += isLate ? 25_000 : 10;
			acceptReport(table, createSampleReport({
				node: toNodeId(`n${node}`), domain: toFailureDomain(domain), sequence: sequence + 1, gate: toAddress(`10.0.0.${gate}:1`),
				server: service === undefined ? undefined : {...server, service},
			}), now);
			table.dropSilent(now);
		}

		const listNames = (peers: Iterable<{readonly report: PeerReport}>): readonly string[] => [...peers].map(({report}) => report.node).toSorted((left, right) => left.localeCompare(right));
		const all = [...table.list()];
		assert.deepEqual(listNames(table.listOwnDomain()), listNames(all.filter(({report}) => report.domain === 'a')));
		assert.deepEqual(listNames(table.listOtherDomains()), listNames(all.filter(({report}) => report.domain !== 'a')));
		assert.equal(table.countDomains(), new Set(['a', ...all.map(({report}) => report.domain)]).size);
		for (const service of ['x', 'y']) {
			const beside = all.filter(({report}) => report.server?.service === service);
			assert.deepEqual(listNames(table.listService(service).ownDomain), listNames(beside.filter(({report}) => report.domain === 'a')));
			assert.deepEqual(listNames(table.listService(service).otherDomains), listNames(beside.filter(({report}) => report.domain !== 'a')));
		}
	}));
});
