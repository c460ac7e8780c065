import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId} from '../common/ids.js';
import {createQuotaLending} from './quota-lending.js';
import {loanMs} from './quota-loans.js';

const first = toNodeId('n1');
const second = toNodeId('n2');
const stamp = {run: 'r', at: 7};

test('a new process lends nothing for a loan time, since its earlier run may have lent its parts', () => {
	const lending = createQuotaLending(0);
	lending.noteStamp(first, stamp, 900);
	assert.deepEqual(lending.lend(first, [1], loanMs - 1), {stamp: undefined, lent: []});
	assert.deepEqual(lending.lend(first, [1], loanMs + 50), {stamp, lent: [1]});
});

test('a part is lent elsewhere only once a loan time has passed since the stamp that lent it was received', () => {
	const lending = createQuotaLending(0);
	lending.noteStamp(first, stamp, 2000);
	lending.noteStamp(second, stamp, 2700);
	assert.deepEqual(lending.lend(first, [1, 2], 2500).lent, [1, 2]);
	assert.deepEqual(lending.lend(second, [1], 2000 + loanMs).lent, []);
	assert.equal(lending.getLender(1, 2000 + loanMs), first);
	assert.deepEqual(lending.lend(second, [1], 2050 + loanMs).lent, [1]);
	assert.equal(lending.getLender(1, 2050 + loanMs), second);
});

test('a stamp that was received a loan time ago lends nothing', () => {
	const lending = createQuotaLending(0);
	lending.noteStamp(first, stamp, 2000);
	assert.equal(lending.hasStamp(first, 2000 + loanMs), false);
	assert.deepEqual(lending.lend(first, [1], 2000 + loanMs).lent, []);
});

test('a part whose release was confirmed is lent elsewhere at once', () => {
	const lending = createQuotaLending(0);
	lending.noteStamp(first, stamp, 2000);
	lending.noteStamp(second, stamp, 2000);
	lending.lend(first, [1, 2], 2000);
	lending.noteReleased(second, [1], 2050);
	assert.deepEqual(lending.lend(second, [1], 2100).lent, []);
	lending.noteReleased(first, [1], 2100);
	assert.deepEqual(lending.lend(second, [1, 2], 2100).lent, [1]);
});
