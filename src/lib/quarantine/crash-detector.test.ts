import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createCrashDetector, type CrashDetector} from './crash-detector.js';

type Fixture = {
	readonly detector: CrashDetector<string>;
	/** What was in work at each crash. */
	readonly crashes: ReadonlyArray<readonly string[]>;
	readonly countProbes: () => number;
	readonly setEnded: (isOver: boolean) => void;
	/** Lets time pass, and what waits for it run. */
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

test('all that is lost within a moment was in work at the same crash, which is asked for once', async context => {
	const {detector, crashes, countProbes, advance} = createFixture(context);
	const results = [detector.recordLost('a'), detector.recordLost('b')];
	await advance(1);
	results.push(detector.recordLost('c'));
	await advance(2);
	assert.deepEqual(await Promise.all(results), [true, true, true]);
	assert.deepEqual(crashes, [['a', 'b', 'c']]);
	assert.equal(countProbes(), 1);
});

test('what is read later than that was in work at the crash as well', async context => {
	const {detector, crashes, advance} = createFixture(context);
	const first = detector.recordLost('a');
	await advance(3);
	const second = detector.recordLost('b');
	await advance(3);
	assert.deepEqual([await first, await second], [true, true]);
	assert.deepEqual(crashes, [['a'], ['b']]);
});

test('a server that goes on listening has not crashed, and is not asked again for each connection that it resets', async context => {
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
	assert.deepEqual(crashes, [['c']], 'what was lost while the server listened is no suspect');
});

/**
 * What was seen, by reading: a node that stands still for longer than its server needs to come back reads the ends of its connections
 * when the next start listens already. Each took the end for a reset, passed the request on, and a request that crashes servers ended the next one uncounted.
 *
 * Cause: that somebody listens was taken for a sign that it is the same start.
 */
test('what was lost while the next start listened already was in work at a crash, once that start is heard of', async context => {
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

test('what a full server reset long before it was replaced, or before a crash that was seen, is no suspect', async context => {
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
