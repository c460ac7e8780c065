import assert from 'node:assert/strict';
import test from 'node:test';
import {
	computeCapacity, computeSlotLimit, createConcurrencyLimit, lowerAfterHang, recordAnswer, type ConcurrencyLimit,
} from './concurrency-limit.js';

const usual = createConcurrencyLimit(16, false);

function recordAnswers(limit: ConcurrencyLimit, count: number): ConcurrencyLimit {
	let next = limit;
	for (let index = 0; index < count; index++) {
		next = recordAnswer(next);
	}

	return next;
}

test('without a hang, the limit is the number of slots plus an eighth, and answers change nothing', () => {
	assert.equal(computeSlotLimit(usual), 18);
	assert.equal(computeSlotLimit(createConcurrencyLimit(6, false)), 6);
	assert.equal(recordAnswer(usual), usual);
});

// Guards against the hangs that a restarted gate causes if it fills a server that still works for its earlier run.
test('a careful start uses half of the slots, at least one, and other nodes are told the whole', () => {
	assert.equal(computeSlotLimit(createConcurrencyLimit(6, true)), 3);
	assert.equal(computeSlotLimit(createConcurrencyLimit(1, true)), 1);
	assert.equal(computeCapacity(createConcurrencyLimit(6, true)), 6);
});

test('after a hang, the limit is what was answered since, at least one, and rises by one with each full round of answers', () => {
	const lowered = lowerAfterHang(usual, 3);
	assert.equal(computeSlotLimit(lowered), 3);
	assert.equal(computeSlotLimit(recordAnswers(lowered, 2)), 3);
	assert.equal(computeSlotLimit(recordAnswers(lowered, 3)), 4);
	assert.equal(computeSlotLimit(recordAnswers(lowered, 3 + 3)), 4);
	assert.equal(computeSlotLimit(recordAnswers(lowered, 3 + 4)), 5);
	assert.equal(computeSlotLimit(lowerAfterHang(usual, 0)), 1);
	assert.equal(computeSlotLimit(lowerAfterHang(usual, 40)), 18);
});

test('the limit has recovered when it reaches the usual one', () => {
	const recovered = recordAnswers(lowerAfterHang(usual, 16), 16 + 17);
	assert.equal(recovered.hangLimit, undefined);
	assert.equal(computeSlotLimit(recovered), 18);
});

test('requests of others take their part of the limit, but never all of it', () => {
	assert.equal(computeSlotLimit({...usual, foreign: 4}), 14);
	assert.equal(computeSlotLimit({...usual, foreign: 40}), 1);
});

test('after a hang, requests that were given up do not count against the limit, but against the slots', () => {
	const lowered = lowerAfterHang(usual, 3);
	assert.equal(computeSlotLimit({...lowered, held: 2}), 5);
	assert.equal(computeSlotLimit({...lowered, held: 30}), 18);
});

test('a server that reports fewer slots than it announced gets no more than these', () => {
	assert.equal(computeSlotLimit({...usual, reportedSlots: 8}), 9);
	assert.equal(computeSlotLimit({...usual, reportedSlots: 400}), 18);
});

// Guards against a server that stands idle until the deadlines of requests that were given up, because nothing is sent that could report it.
test('if all slots are held, one request more is sent, until half of the slots are in the queue', () => {
	const small = createConcurrencyLimit(6, false);
	assert.deepEqual([5, 6, 7, 8, 9, 10].map(held => computeSlotLimit({...small, held})), [6, 7, 8, 9, 6, 6]);
	assert.deepEqual([1, 2].map(held => computeSlotLimit({...createConcurrencyLimit(1, false), held})), [2, 1]);
});

// Guards against hangs of a server whose queue holds work of others, or has proved smaller than it announced.
test('no request more is sent while a server may hold less, or work that the gate did not send', () => {
	const small = createConcurrencyLimit(6, false);
	assert.equal(computeSlotLimit({...small, foreign: 3, held: 6}), 3);
	assert.equal(computeSlotLimit({...small, foreign: 1, held: 6}), 7);
	assert.equal(computeSlotLimit({...createConcurrencyLimit(6, true), held: 3}), 3);
	assert.equal(computeSlotLimit({...lowerAfterHang(small, 3), held: 6}), 6);
});
