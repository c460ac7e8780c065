import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createCrashWatch, type CrashWatch} from './crash-watch.js';

type Fixture = {
	readonly watch: CrashWatch<string>;
	/** What was in work at each crash. */
	readonly crashes: ReadonlyArray<readonly string[]>;
	readonly countQuestions: () => number;
	readonly setEnded: (isOver: boolean) => void;
	/** Lets time pass, and what waits for it run. */
	readonly advance: (milliseconds: number) => Promise<void>;
};

function createFixture({mock}: TestContext): Fixture {
	mock.timers.enable({apis: ['setTimeout']});
	let now = 1000;
	mock.method(performance, 'now', () => now);
	const crashes: Array<readonly string[]> = [];
	let questions = 0;
	let isOver = true;
	const watch = createCrashWatch<string>({
		async hasEnded() {
			questions++;
			return isOver;
		},
		handleCrash(atWork) {
			crashes.push(atWork);
		},
	});
	return {
		watch,
		crashes,
		countQuestions: () => questions,
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
	const {watch, crashes, countQuestions, advance} = createFixture(context);
	const verdicts = [watch.noteLost('a'), watch.noteLost('b')];
	await advance(1);
	verdicts.push(watch.noteLost('c'));
	await advance(2);
	assert.deepEqual(await Promise.all(verdicts), [true, true, true]);
	assert.deepEqual(crashes, [['a', 'b', 'c']]);
	assert.equal(countQuestions(), 1);
});

test('what is read later than that was in work at the crash as well', async context => {
	const {watch, crashes, advance} = createFixture(context);
	const first = watch.noteLost('a');
	await advance(3);
	const second = watch.noteLost('b');
	await advance(3);
	assert.deepEqual([await first, await second], [true, true]);
	assert.deepEqual(crashes, [['a'], ['b']]);
});

test('a server that goes on listening has not crashed, and is not asked again for each connection that it resets', async context => {
	const {watch, crashes, countQuestions, setEnded, advance} = createFixture(context);
	setEnded(false);
	const first = watch.noteLost('a');
	await advance(3);
	assert.equal(await first, false);
	assert.equal(await watch.noteLost('b'), false);
	assert.equal(countQuestions(), 1);
	await advance(60);
	setEnded(true);
	const third = watch.noteLost('c');
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
	const {watch, crashes, setEnded, advance} = createFixture(context);
	setEnded(false);
	const first = watch.noteLost('a');
	await advance(3);
	assert.equal(await first, false);
	assert.equal(await watch.noteLost('b'), false);
	await advance(1000);
	watch.noteReplaced();
	assert.deepEqual(crashes, [['a', 'b']]);
	watch.noteReplaced();
	assert.equal(crashes.length, 1);
});

test('what a full server reset long before it was replaced, or before a crash that was seen, is no suspect', async context => {
	const {watch, crashes, setEnded, advance} = createFixture(context);
	setEnded(false);
	const early = watch.noteLost('early');
	await advance(3);
	await early;
	await advance(5000);
	watch.noteReplaced();
	assert.deepEqual(crashes, []);

	const reset = watch.noteLost('reset');
	await advance(3);
	await reset;
	await advance(60);
	setEnded(true);
	const seen = watch.noteLost('seen');
	await advance(3);
	await seen;
	watch.noteReplaced();
	assert.deepEqual(crashes, [['seen']]);
});
