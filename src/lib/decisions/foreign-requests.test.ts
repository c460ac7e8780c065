import assert from 'node:assert/strict';
import test from 'node:test';
import {noForeignRequests, recordForeignRequests, type ForeignRequests} from './foreign-requests.js';

const recordAll = (reports: ReadonlyArray<readonly [count: number, at: number]>, start: ForeignRequests = noForeignRequests): ForeignRequests => {
	let state = start;
	for (const [count, at] of reports) {
		state = recordForeignRequests(state, count, false, at);
	}

	return state;
};

const three = recordForeignRequests(noForeignRequests, 3, true, 1000);

test('the first report after a start is believed at once', () => {
	assert.equal(three.count, 3);
});

// Guards against a slot that stands idle after each health check.
test('a higher count is believed only if it lasts longer than a health check', () => {
	assert.equal(recordAll([[1, 1000], [0, 1010], [0, 1020], [1, 2000], [0, 2010]]).count, 0);
	assert.equal(recordAll([[1, 1000], [1, 1010]]).count, 0);
	assert.equal(recordAll([[1, 1000], [0, 1010], [2, 1025]]).count, 1);
});

// Guards against a server that is filled because one report was smaller than the truth.
test('a lower count is believed only after a while without a higher one', () => {
	assert.equal(recordAll([[0, 1020], [2, 1050], [3, 1080], [0, 1170]], three).count, 3);
	assert.equal(recordAll([[0, 1020], [1, 1101]], three).count, 1);
});
