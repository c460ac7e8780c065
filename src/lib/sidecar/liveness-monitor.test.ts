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
	/** When the node was asked, in milliseconds from the start. */
	readonly probes: number[];
	readonly silence: ReturnType<typeof createSilenceWatchers>;
	readonly advance: (milliseconds: number) => void;
	/** Lets a report of the node arrive. */
	readonly hear: () => void;
	/** Lets bytes arrive on a connection to its gate. */
	readonly receive: () => void;
	/** Lets a round of heartbeats begin, so many milliseconds late. */
	readonly beginRound: (lateMs: number) => void;
	/** How late timers were, as the watch tells it. */
	readonly delays: number[];
	readonly isHeard: () => boolean;
};

/** A watch over one node whose heartbeats are seldom, under a clock that the test advances. */
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
	const link: Pick<PeerLink, 'table' | 'probe' | 'forgiveSilence' | 'noteReached'> = {
		table,
		probe(probed: NodeId) {
			fixture.probes.push(now);
			table.noteProbed(probed, now);
		},
		forgiveSilence: table.forgiveSilence,
		noteReached(reached) {
			table.noteReached(reached, now);
		},
	};
	const gateClient = {checkSilence: () => undefined, getReceivedAt: () => receivedAt} satisfies Pick<GateClient, 'checkSilence' | 'getReceivedAt'>;
	const monitor = createLivenessMonitor({
		link, limits, silenceWatchers: fixture.silence, gateClient, log: silentLog, handleDelay(delayMs) {
			fixture.delays.push(delayMs);
		},
	});
	monitor.start();
	context.after(monitor.dispose);
	return fixture;
}

test('a node that nobody waits for is not asked', context => {
	const {probes, advance} = createFixture(context);
	advance(3000);
	assert.deepEqual(probes, []);
});

test('a question or an answer that is lost on the way does not make a node silent', context => {
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

test('a node that leaves every question unanswered is silent, and is not asked for ever', context => {
	const {probes, silence, advance} = createFixture(context);
	const notifiedAt: number[] = [];
	silence.watch(node, () => {
		notifiedAt.push(probes.length);
	});
	advance(1400);
	assert.ok(notifiedAt.length > 0);
	assert.ok(probes.length >= 3);
	advance(10_000);
	assert.ok(probes.length < 20, `${probes.length} questions`);
});

test('a node that was asked for a request that has ended meanwhile is asked on, until it answers', context => {
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

test('a request that was sent just now shows nothing about a node that was heard long ago', context => {
	const {probes, silence, advance} = createFixture(context);
	advance(3000);
	silence.watch(node, () => undefined);
	advance(500);
	assert.deepEqual(probes, []);
	advance(200);
	assert.equal(probes.length, 1);
});

test('a node whose datagrams are lost and on whose connection bytes arrive is not silent', context => {
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

test('an idle node looks with its rounds only, and at its own pace from the first request that waits until nobody does', context => {
	const {silence, advance, beginRound, delays} = createFixture(context);
	advance(1000);
	assert.deepEqual(delays, []);
	beginRound(7);
	assert.deepEqual(delays, [7]);
	const unwatch = silence.watch(node, () => undefined);
	advance(300);
	assert.equal(delays.length, 4);
	// A pause is told once.
	beginRound(900);
	assert.equal(delays.length, 4);
	unwatch();
	advance(100);
	// Rounds count again, so the pace of its own has ended.
	beginRound(8);
	assert.deepEqual(delays.slice(-1), [8]);
});

test('an idle node that stood still does not take others for silent', context => {
	const {advance, beginRound, isHeard} = createFixture(context);
	// Their heartbeats of a long period are not due yet, so what is looked at is the time itself.
	advance(10_400);
	assert.equal(isHeard(), true);
	advance(700);
	assert.equal(isHeard(), false);
	beginRound(700);
	assert.equal(isHeard(), true);
});
