import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createSampleMark} from './sample-quarantine.js';
import {createTrialWait, type TrialWait} from './trial-wait.js';

const page = createSampleMark('/page').getFingerprint();
const other = createSampleMark('/other').getFingerprint();

type Fixture = {readonly trialWait: TrialWait; readonly repeated: readonly string[]; readonly tick: (milliseconds: number) => Promise<void>};

function createFixture({mock}: TestContext, settleMs: number): Fixture {
	mock.timers.enable({apis: ['setTimeout']});
	const repeated: string[] = [];
	const trialWait = createTrialWait({
		getSettleMs: () => settleMs,
		handleRepeated(fingerprint) {
			repeated.push(fingerprint);
		},
	});
	return {
		trialWait, repeated,
		async tick(milliseconds) {
			mock.timers.tick(milliseconds);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		},
	};
}

test('one request waits until the time is over, and nobody is told', async context => {
	const {trialWait, repeated, tick} = createFixture(context, 200);
	let isOver = false;
	const wait = (async () => {
		await trialWait.join(page);
		isOver = true;
	})();
	await tick(199);
	assert.equal(isOver, false);
	await tick(1);
	await wait;
	assert.deepEqual(repeated, []);
	assert.notEqual(trialWait.join(page), undefined, 'the next one does not wait');
});

test('a second request for the same ends the wait of the first and is told; one for another does not', async context => {
	const {trialWait, repeated} = createFixture(context, 200);
	const first = trialWait.join(page);
	assert.notEqual(trialWait.join(other), undefined);
	assert.deepEqual(repeated, []);
	assert.equal(trialWait.join(page), undefined);
	assert.deepEqual(repeated, [page]);
	await first;
});

test('nothing waits once the time after the crash is over', context => {
	assert.equal(createFixture(context, 0).trialWait.join(page), undefined);
});
