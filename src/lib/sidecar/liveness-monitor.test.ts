import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {toFailureDomain, toNodeId, type NodeId} from '../common/ids.js';
import {type GateClient} from '../forwarding/gate-client.js';
import {type PeerLink} from '../peers/peer-link.js';
import {
	createPeerTable, isHeard, type PeerLimits,
} from '../peers/peer-table.js';
import {createSampleReport} from '../peers/sample-report.js';
import {silentLog} from '../timeline/mesh-log.js';
import {createLivenessMonitor} from './liveness-monitor.js';
import {createSilenceWatchers} from './silence-watchers.js';

const node = toNodeId('n2');
const limits: PeerLimits = {
	silenceMs: 1050, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: () => 4000,
};

type Fixture = {
	/** When the node was probed, in milliseconds from the start. */
	readonly probes: number[];
	readonly silence: ReturnType<typeof createSilenceWatchers>;
	readonly advance: (milliseconds: number) => void;
	/** Simulates a report of the node. */
	readonly hear: () => void;
	/** Simulates received bytes on a connection to the gate of the node. */
	readonly receive: () => void;
	/** Starts a round of heartbeats with a delay. */
	readonly beginRound: (lateMs: number) => void;
	/** The delays that the monitor reported. */
	readonly delays: number[];
	readonly isHeard: () => boolean;
};

/** Creates a monitor of one node with rare heartbeats, and a clock that the test advances. */
function createFixture(context: TestContext): Fixture {
	context.mock.timers.enable({apis: ['setInterval']});
	let now = 0;
	context.mock.method(performance, 'now', () => now);
	let sequence = 0;
	let receivedAt = 0;
	const table = createPeerTable(toFailureDomain('a'), limits);
	const fixture: Fixture = {
		delays: [],
		beginRound(lateMs) {
			monitor.handleRound(lateMs);
		},
		isHeard: () => isHeard(table.get(node)!, limits, now),
		probes: [],
		silence: createSilenceWatchers(),
		advance(milliseconds) {
			for (let passed = 0; passed < milliseconds; passed += 100) {
				now += 100;
				context.mock.timers.tick(100);
			}
		},
		hear() {
			sequence++;
			table.acceptReport(createSampleReport({sequence}), now);
		},
		receive() {
			receivedAt = now;
		},
	};
	fixture.hear();
	const link: Pick<PeerLink, 'table' | 'probe' | 'recordPause' | 'noteReached'> = {
		table,
		probe(probed: NodeId) {
			fixture.probes.push(now);
			table.noteProbed(probed, now);
		},
		recordPause: table.recordPause,
		noteReached(reached) {
			table.noteReached(reached, now);
		},
	};
	const gateClient = {checkLiveness: () => undefined, getLastReceivedAt: () => receivedAt} satisfies Pick<GateClient, 'checkLiveness' | 'getLastReceivedAt'>;
	const monitor = createLivenessMonitor({
		link, limits, silenceWatchers: fixture.silence, gateClient, log: silentLog, handleDelay(delayMs) {
			fixture.delays.push(delayMs);
		},
	});
	monitor.start();
	context.after(monitor.dispose);
	return fixture;
}

test('a node that no request waits for is not probed', context => {
	const {probes, advance} = createFixture(context);
	advance(3000);
	assert.deepEqual(probes, []);
});

test('a lost probe or answer does not make a node silent', context => {
	const {probes, silence, advance, hear} = createFixture(context);
	let isNotified = false;
	silence.watch(node, () => {
		isNotified = true;
	});
	advance(700);
	assert.equal(probes.length, 1);
	advance(200);
	assert.equal(probes.length, 2);
	hear();
	advance(500);
	assert.equal(isNotified, false);
});

test('a node that answers no probe is silent, and probes to it end', context => {
	const {probes, silence, advance} = createFixture(context);
	const notifiedAt: number[] = [];
	silence.watch(node, () => {
		notifiedAt.push(probes.length);
	});
	advance(1400);
	assert.ok(notifiedAt.length > 0);
	assert.ok(probes.length >= 3);
	advance(10_000);
	assert.ok(probes.length < 20, `${probes.length} probes`);
});

test('probes to a node continue until it answers, also when the request that waited for it has ended', context => {
	const {probes, silence, advance, hear} = createFixture(context);
	const unwatch = silence.watch(node, () => undefined);
	advance(700);
	unwatch();
	advance(400);
	assert.ok(probes.length >= 3);
	hear();
	const before = probes.length;
	advance(2000);
	assert.equal(probes.length, before);
});

test('a node with an old heartbeat is not probed until a request has waited for it', context => {
	const {probes, silence, advance} = createFixture(context);
	advance(3000);
	silence.watch(node, () => undefined);
	advance(500);
	assert.deepEqual(probes, []);
	advance(200);
	assert.equal(probes.length, 1);
});

test('a node is not silent while bytes arrive on its connection, even if its datagrams are lost', context => {
	const {silence, advance, receive} = createFixture(context);
	let isNotified = false;
	silence.watch(node, () => {
		isNotified = true;
	});
	for (let passed = 0; passed < 5000; passed += 500) {
		advance(500);
		receive();
	}

	assert.equal(isNotified, false);
	advance(3000);
	assert.equal(isNotified, true);
});

test('an idle node checks with its heartbeat rounds only, and at an interval while requests wait', context => {
	const {silence, advance, beginRound, delays} = createFixture(context);
	advance(1000);
	assert.deepEqual(delays, []);
	beginRound(7);
	assert.deepEqual(delays, [7]);
	const unwatch = silence.watch(node, () => undefined);
	advance(300);
	assert.equal(delays.length, 4);
	// The interval timer reports the pause, so the round does not.
	beginRound(900);
	assert.equal(delays.length, 4);
	unwatch();
	advance(100);
	// Rounds report delays again, so the interval timer has stopped.
	beginRound(8);
	assert.deepEqual(delays.slice(-1), [8]);
});

test('an idle node does not consider other nodes silent after a pause', context => {
	const {advance, beginRound, isHeard} = createFixture(context);
	// The clock advances without a round, since rounds of heartbeats with a long period are not due yet.
	advance(10_400);
	assert.equal(isHeard(), true);
	advance(700);
	assert.equal(isHeard(), false);
	beginRound(700);
	assert.equal(isHeard(), true);
});
