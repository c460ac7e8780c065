import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createEraTracker} from './era-tracker.js';

test('the first answer is no change, a newer era is one, the same is none', () => {
	const tracker = createEraTracker();
	const changedEras: number[] = [];
	tracker.watch(era => {
		changedEras.push(era);
	});
	assert.equal(tracker.get(), undefined);
	assert.equal(tracker.accept(3, tracker.getChangeCount()), true);
	assert.equal(tracker.accept(3, tracker.getChangeCount()), true);
	assert.deepEqual(changedEras, []);
	assert.equal(tracker.accept(4, tracker.getChangeCount()), true);
	assert.deepEqual([changedEras, tracker.get()], [[4], 4]);
});

test('an answer of an era that is over counts no more, unless it was asked for since', () => {
	const tracker = createEraTracker();
	tracker.accept(3, tracker.getChangeCount());
	const beforeChange = tracker.getChangeCount();
	tracker.accept(4, tracker.getChangeCount());
	assert.equal(tracker.accept(3, beforeChange), false);
	assert.equal(tracker.get(), 4);
	assert.equal(tracker.accept(1, tracker.getChangeCount()), true, 'a store that was replaced counts from anew');
	assert.equal(tracker.get(), 1);
});

test('property: whatever order the answers of a store come in, the era never goes back', () => {
	// Each call is answered in the era in which it arrives, and its answer may come after any number of later ones.
	fc.assert(fc.property(fc.array(fc.record({restores: fc.nat(1), delay: fc.nat(6)}), {maxLength: 40}), calls => {
		const tracker = createEraTracker();
		let era = 1;
		const pending: Array<{readonly at: number; readonly era: number; readonly changeCount: number}> = [];
		let newest = 0;
		for (const [round, {restores, delay}] of calls.entries()) {
			era += restores;
			pending.push({at: round + delay, era, changeCount: tracker.getChangeCount()});
			for (const answer of pending.filter(({at}) => at === round)) {
				assert.equal(tracker.accept(answer.era, answer.changeCount), answer.era >= newest);
				newest = Math.max(newest, answer.era);
				assert.equal(tracker.get(), newest);
			}
		}
	}));
});
