import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createSampleFingerprint} from './sample-quarantine.js';
import {createTrialDelay, type TrialDelay} from './trial-delay.js';

const page = createSampleFingerprint('/page').getFingerprint();
const other = createSampleFingerprint('/other').getFingerprint();

type Fixture = {readonly trialDelay: TrialDelay; readonly repeated: readonly string[]; readonly tick: (milliseconds: number) => Promise<void>};

function createFixture({mock}: TestContext, delayMs: number): Fixture {
	mock.timers.enable({apis: ['setTimeout']});
	const repeated: string[] = [];
	const trialDelay = createTrialDelay({
		getDelayMs: () => delayMs,
		handleRepeat(fingerprint) {
			repeated.push(fingerprint);
		},
	});
	return {
		trialDelay, repeated,
		async tick(milliseconds) {
			mock.timers.tick(milliseconds);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		},
	};
}

test('a single request waits for the whole delay and is not reported as repeated', async context => {
	const {trialDelay, repeated, tick} = createFixture(context, 200);
	let isOver = false;
	const wait = (async () => {
		await trialDelay.wait(page);
		isOver = true;
	})();
	await tick(199);
	assert.equal(isOver, false);
	await tick(1);
	await wait;
	assert.deepEqual(repeated, []);
	assert.notEqual(trialDelay.wait(page), undefined, 'the next request does not wait');
});

test('a second identical request ends the wait of the first and is reported as repeated; another request does not', async context => {
	const {trialDelay, repeated} = createFixture(context, 200);
	const first = trialDelay.wait(page);
	assert.notEqual(trialDelay.wait(other), undefined);
	assert.deepEqual(repeated, []);
	assert.equal(trialDelay.wait(page), undefined);
	assert.deepEqual(repeated, [page]);
	await first;
});

test('no request waits once the delay after the crash is over', context => {
	assert.equal(createFixture(context, 0).trialDelay.wait(page), undefined);
});
