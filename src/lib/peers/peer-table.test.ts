import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toNodeId} from '../common/ids.js';
import {decodeReport, encodeReport, type PeerReport} from './peer-report.js';
import {createSampleReport} from './sample-report.js';
import {
	acceptReport, dropSilent, forgiveSilence, isHeard, isReachable, noteProbed, noteReached, noteUnreachable, type PeerLimits, type PeerTable,
} from './peer-table.js';

const limits: PeerLimits = {
	silenceMs: 900, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: ({periods}) => periods.otherDomainMs,
};
const n2 = toNodeId('n2');

/** Heartbeats of which two and more fit into the time of silence. */
const often = {ownDomainMs: 300, otherDomainMs: 300};

const hear = (table: PeerTable, report: PeerReport, now: number) => acceptReport(table, {...report, periods: often}, limits, now);

test('a report survives its way over the wire', () => {
	assert.deepEqual(decodeReport(encodeReport(createSampleReport())), createSampleReport());
	const bare = createSampleReport({server: undefined, isLeaving: true});
	assert.deepEqual(decodeReport(encodeReport(bare)), bare);
});

test('property: whatever arrives as a datagram is a report or nothing', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
		const report = decodeReport(text);
		assert.ok(report === undefined || typeof report.node === 'string');
	}));
});

test('late and repeated reports change nothing', () => {
	const {table} = hear(new Map(), createSampleReport({sequence: 5, version: 4}), 100);
	const late = hear(table, createSampleReport({sequence: 4, version: 3}), 900);
	assert.equal(late.news, 'none');
	assert.equal(late.table.get(n2)?.heardAt, 100);
	assert.equal(hear(table, createSampleReport({sequence: 5}), 900).news, 'none');
});

test('a restarted node is told from its earlier run, whose late reports are ignored', () => {
	const first = hear(new Map(), createSampleReport({sequence: 50}), 0).table;
	const second = hear(first, createSampleReport({run: 'r2', sequence: 1}), 100);
	assert.equal(second.news, 'restarted');
	const late = hear(second.table, createSampleReport({run: 'r1', sequence: 51}), 200);
	assert.equal(late.news, 'none');
	assert.equal(late.table.get(n2)?.report.run, 'r2');
});

test('a silent node gets no requests, and gets them again once it is heard', () => {
	const {table} = hear(new Map(), createSampleReport(), 0);
	const peer = table.get(n2)!;
	assert.equal(isReachable(peer, limits, 900), true);
	assert.equal(isReachable(peer, limits, 901), false);
	const back = hear(table, createSampleReport({sequence: 2}), 5000);
	assert.equal(back.news, 'returned');
	assert.equal(isReachable(back.table.get(n2)!, limits, 5001), true);
});

test('a node whose heartbeats come less often is given longer, until it leaves a question unanswered', () => {
	const seldom = createSampleReport({periods: {ownDomainMs: 400, otherDomainMs: 2000}});
	const {table} = acceptReport(new Map(), seldom, limits, 0);
	assert.equal(isHeard(table.get(n2)!, limits, 5200), true);
	assert.equal(isHeard(table.get(n2)!, limits, 5201), false);
	const asked = noteProbed(table, n2, 1500);
	// A second question does not give it more time.
	const askedAgain = noteProbed(asked, n2, 2000);
	assert.equal(isHeard(askedAgain.get(n2)!, limits, 2150), true);
	assert.equal(isHeard(askedAgain.get(n2)!, limits, 2151), false);
	const answered = acceptReport(askedAgain, {...seldom, sequence: 2}, limits, 2200);
	assert.equal(answered.news, 'returned');
	assert.equal(isHeard(answered.table.get(n2)!, limits, 7000), true);
	// A pause of this node is no silence of the other.
	assert.equal(isHeard(forgiveSilence(asked, 3000).get(n2)!, limits, 4500), true);
});

test('a report in which only the version differs is told from one in which the server does', () => {
	const {table} = hear(new Map(), createSampleReport(), 0);
	assert.equal(hear(table, createSampleReport({sequence: 2, version: 9}), 100).news, 'version');
	assert.equal(hear(table, createSampleReport({sequence: 2, server: undefined}), 100).news, 'changed');
});

test('a node that is heard but cannot be reached is avoided for longer each time', () => {
	let {table} = hear(new Map(), createSampleReport(), 0);
	table = noteUnreachable(table, n2, limits, 0);
	assert.equal(isReachable(table.get(n2)!, limits, 249), false);
	assert.equal(isReachable(table.get(n2)!, limits, 250), true);
	table = noteUnreachable(table, n2, limits, 250);
	assert.equal(table.get(n2)?.avoidUntil, 750);
	// Several requests fail at once: that is one failure.
	assert.equal(noteUnreachable(table, n2, limits, 251), table);
	table = noteReached(table, n2);
	assert.equal(isReachable(table.get(n2)!, limits, 300), true);
	assert.equal(noteUnreachable(table, n2, limits, 300).get(n2)?.avoidUntil, 550);
});

test('a node that stood still does not take the others for silent', () => {
	const {table} = hear(new Map(), createSampleReport(), 0);
	assert.equal(isReachable(table.get(n2)!, limits, 4100), false);
	assert.equal(isReachable(forgiveSilence(table, 4000).get(n2)!, limits, 4100), true);
});

test('a node that leaves gets no requests; one that was silent for long is forgotten', () => {
	const {table} = hear(new Map(), createSampleReport({isLeaving: true}), 0);
	assert.equal(isReachable(table.get(n2)!, limits, 1), false);
	assert.deepEqual(dropSilent(table, limits, 60_000).dropped, []);
	const dropped = dropSilent(table, limits, 60_001);
	assert.deepEqual(dropped.dropped, [n2]);
	assert.equal(dropped.table.size, 0);
});

test('property: in whatever order and how often reports arrive, the newest of each run stands', () => {
	const report = fc.record({run: fc.constantFrom('r1', 'r2'), sequence: fc.integer({min: 1, max: 9}), version: fc.integer({min: 0, max: 9})});
	fc.assert(fc.property(fc.array(report, {maxLength: 30}), reports => {
		let table: PeerTable = new Map();
		const seen = new Map<string, number>();
		for (const [now, changes] of reports.entries()) {
			const before = table.get(n2)?.report;
			table = hear(table, createSampleReport(changes), now).table;
			const after = table.get(n2)!.report;
			if (before?.run === after.run) {
				assert.ok(after.sequence >= before.sequence);
			}

			assert.ok((seen.get(after.run) ?? 0) <= after.sequence);
			seen.set(after.run, after.sequence);
		}
	}));
});
