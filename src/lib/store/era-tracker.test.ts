import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createEraTracker} from './era-tracker.js';

test('watchers are notified of a new era, but not of the first one or of the same one', () => {
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

test('an answer from an older era is rejected, unless its call was sent after the last era change', () => {
	const tracker = createEraTracker();
	tracker.accept(3, tracker.getChangeCount());
	const beforeChange = tracker.getChangeCount();
	tracker.accept(4, tracker.getChangeCount());
	assert.equal(tracker.accept(3, beforeChange), false);
	assert.equal(tracker.get(), 4);
	assert.equal(tracker.accept(1, tracker.getChangeCount()), true, 'a replacement store may start at a lower era');
	assert.equal(tracker.get(), 1);
});

test('property: the era never decreases, whatever the order of the answers', () => {
	// An answer carries the era in which the store processed the call, and may arrive after the answers to later calls.
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
