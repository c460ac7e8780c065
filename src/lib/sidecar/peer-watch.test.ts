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
import {createPeerWatch} from './peer-watch.js';
import {createSilenceWatchers} from './silence-watchers.js';

const node = toNodeId('n2');
const limits: PeerLimits = {
	silenceMs: 1050, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: () => 4000,
};

type Fixture = {
	/** When the node was asked, in milliseconds from the start. */
	readonly asked: number[];
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
			watch.handleRound(lateMs);
		},
		isHeard: () => isHeard(table.get(node)!, limits, now),
		asked: [],
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
		probe(asked: NodeId) {
			fixture.asked.push(now);
			table.noteProbed(asked, now);
		},
		recordPause: table.recordPause,
		noteReached(reached) {
			table.noteReached(reached, now);
		},
	};
	const gateClient = {checkLiveness: () => undefined, getLastReceivedAt: () => receivedAt} satisfies Pick<GateClient, 'checkLiveness' | 'getLastReceivedAt'>;
	const watch = createPeerWatch({
		link, limits, silence: fixture.silence, gateClient, log: silentLog, handleDelay(delayMs) {
			fixture.delays.push(delayMs);
		},
	});
	watch.start();
	context.after(watch.dispose);
	return fixture;
}

test('a node that nobody waits for is not asked', context => {
	const {asked, advance} = createFixture(context);
	advance(3000);
	assert.deepEqual(asked, []);
});

test('a question or an answer that is lost on the way does not make a node silent', context => {
	const {asked, silence, advance, hear} = createFixture(context);
	let isTold = false;
	silence.watch(node, () => {
		isTold = true;
	});
	advance(700);
	assert.equal(asked.length, 1);
	advance(200);
	assert.equal(asked.length, 2);
	hear();
	advance(500);
	assert.equal(isTold, false);
});

test('a node that leaves every question unanswered is silent, and is not asked for ever', context => {
	const {asked, silence, advance} = createFixture(context);
	const toldAt: number[] = [];
	silence.watch(node, () => {
		toldAt.push(asked.length);
	});
	advance(1400);
	assert.ok(toldAt.length > 0);
	assert.ok(asked.length >= 3);
	advance(10_000);
	assert.ok(asked.length < 20, `${asked.length} questions`);
});

test('a node that was asked for a request that has ended meanwhile is asked on, until it answers', context => {
	const {asked, silence, advance, hear} = createFixture(context);
	const unwatch = silence.watch(node, () => undefined);
	advance(700);
	unwatch();
	advance(400);
	assert.ok(asked.length >= 3);
	hear();
	const before = asked.length;
	advance(2000);
	assert.equal(asked.length, before);
});

test('a request that was sent just now shows nothing about a node that was heard long ago', context => {
	const {asked, silence, advance} = createFixture(context);
	advance(3000);
	silence.watch(node, () => undefined);
	advance(500);
	assert.deepEqual(asked, []);
	advance(200);
	assert.equal(asked.length, 1);
});

test('a node whose datagrams are lost and on whose connection bytes arrive is not silent', context => {
	const {silence, advance, receive} = createFixture(context);
	let isTold = false;
	silence.watch(node, () => {
		isTold = true;
	});
	for (let passed = 0; passed < 5000; passed += 500) {
		advance(500);
		receive();
	}

	assert.equal(isTold, false);
	advance(3000);
	assert.equal(isTold, true);
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
