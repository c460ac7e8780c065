import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId} from '../common/ids.js';
import {createQuotaLoans, loanMs} from './quota-loans.js';

const lender = toNodeId('n1');
const otherLender = toNodeId('n2');

test('a loan lasts from its arrival until a loan time after its stamp, so that a late message lends for less', () => {
	const loans = createQuotaLoans(() => 4);
	loans.lend(lender, 1000, 4, 1700);
	assert.equal(loans.getShare(), 0.25);
	loans.advance(5000);
	assert.equal(loans.getShare(), 0);
	assert.equal(loans.getLentMs(), 300 / 4);
});

test('a stamp that is too old, or of the future, lends nothing', () => {
	const loans = createQuotaLoans(() => 1);
	loans.lend(lender, 1000, 1, 1000 + loanMs);
	loans.lend(lender, 3000, 1, 2999);
	assert.equal(loans.getShare(), 0);
});

test('a released loan ends at once, and a message that was sent before does not renew it', () => {
	const loans = createQuotaLoans(() => 1);
	loans.lend(lender, 1000, 1, 1100);
	loans.release(lender, 1200);
	loans.lend(lender, 1150, 1, 1300);
	assert.equal(loans.getShare(), 0);
	loans.advance(3000);
	assert.equal(loans.getLentMs(), 100);
	loans.lend(lender, 2950, 1, 3000);
	assert.equal(loans.getShare(), 1);
});

test('parts are as small as the largest number of nodes that anyone knows of, and never more than the whole', () => {
	const loans = createQuotaLoans(() => 2);
	loans.lend(lender, 1000, 10, 1000);
	assert.equal(loans.getShare(), 0.1);
	const crowded = createQuotaLoans(() => 1);
	crowded.lend(lender, 1000, 1, 1000);
	crowded.lend(otherLender, 1000, 1, 1000);
	assert.equal(crowded.getShare(), 1);
	crowded.advance(1500);
	assert.equal(crowded.getLentMs(), 500);
});

test('the lowest share since it was last read is kept, so that a lapse between two asks is not missed', () => {
	const loans = createQuotaLoans(() => 1);
	loans.lend(lender, 1000, 1, 1000);
	loans.takeLowestShare();
	loans.lend(lender, 2900, 1, 3000);
	assert.equal(loans.takeLowestShare(), 0);
	assert.equal(loans.getShare(), 1);
});
