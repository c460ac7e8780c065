import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createCrashDetector, type CrashDetector} from './crash-detector.js';

type Fixture = {
	readonly detector: CrashDetector<string>;
	/** The requests that were in flight at each crash. */
	readonly crashes: ReadonlyArray<readonly string[]>;
	readonly countProbes: () => number;
	readonly setEnded: (isOver: boolean) => void;
	/** Advances the clock and the timers, and lets the callbacks that become due run. */
	readonly advance: (milliseconds: number) => Promise<void>;
};

function createFixture({mock}: TestContext): Fixture {
	mock.timers.enable({apis: ['setTimeout']});
	let now = 1000;
	mock.method(performance, 'now', () => now);
	const crashes: Array<readonly string[]> = [];
	let probes = 0;
	let isOver = true;
	const detector = createCrashDetector<string>({
		async hasEnded() {
			probes++;
			return isOver;
		},
		handleCrash(inFlight) {
			crashes.push(inFlight);
		},
	});
	return {
		detector,
		crashes,
		countProbes: () => probes,
		setEnded(next) {
			isOver = next;
		},
		async advance(milliseconds) {
			now += milliseconds;
			mock.timers.tick(milliseconds);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		},
	};
}

test('requests lost within the gather window belong to the same crash, and the server is probed once', async context => {
	const {detector, crashes, countProbes, advance} = createFixture(context);
	const results = [detector.recordLost('a'), detector.recordLost('b')];
	await advance(1);
	results.push(detector.recordLost('c'));
	await advance(2);
	assert.deepEqual(await Promise.all(results), [true, true, true]);
	assert.deepEqual(crashes, [['a', 'b', 'c']]);
	assert.equal(countProbes(), 1);
});

test('requests lost after the gather window were in flight at the crash as well', async context => {
	const {detector, crashes, advance} = createFixture(context);
	const first = detector.recordLost('a');
	await advance(3);
	const second = detector.recordLost('b');
	await advance(3);
	assert.deepEqual([await first, await second], [true, true]);
	assert.deepEqual(crashes, [['a'], ['b']]);
});

test('a server that keeps listening has not crashed, and is not probed for each connection that it resets', async context => {
	const {detector, crashes, countProbes, setEnded, advance} = createFixture(context);
	setEnded(false);
	const first = detector.recordLost('a');
	await advance(3);
	assert.equal(await first, false);
	assert.equal(await detector.recordLost('b'), false);
	assert.equal(countProbes(), 1);
	await advance(60);
	setEnded(true);
	const third = detector.recordLost('c');
	await advance(3);
	assert.equal(await third, true);
	assert.deepEqual(crashes, [['c']], 'a request lost while the server listened became a suspect');
});

/**
 * Guards against crashes that are not counted. A node that is paused for longer than its server needs to restart reads the ends of its
 * connections when the next lifetime already listens. If a listening address is taken for the same lifetime, the crash looks like a
 * reset, the request is retried, and it crashes the next server without being recorded.
 */
test('requests lost while the next lifetime already listened count as in flight at a crash once that lifetime announces itself', async context => {
	const {detector, crashes, setEnded, advance} = createFixture(context);
	setEnded(false);
	const first = detector.recordLost('a');
	await advance(3);
	assert.equal(await first, false);
	assert.equal(await detector.recordLost('b'), false);
	await advance(1000);
	detector.recordReplaced();
	assert.deepEqual(crashes, [['a', 'b']]);
	detector.recordReplaced();
	assert.equal(crashes.length, 1);
});

test('requests that an overloaded server reset long before it was replaced, or before a detected crash, are not suspected', async context => {
	const {detector, crashes, setEnded, advance} = createFixture(context);
	setEnded(false);
	const early = detector.recordLost('early');
	await advance(3);
	await early;
	await advance(5000);
	detector.recordReplaced();
	assert.deepEqual(crashes, []);

	const reset = detector.recordLost('reset');
	await advance(3);
	await reset;
	await advance(60);
	setEnded(true);
	const seen = detector.recordLost('seen');
	await advance(3);
	await seen;
	detector.recordReplaced();
	assert.deepEqual(crashes, [['seen']]);
});
