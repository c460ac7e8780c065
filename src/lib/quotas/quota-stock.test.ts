import assert from 'node:assert/strict';
import test from 'node:test';
import {type QuotaPlan} from './quota-plan.js';
import {createQuotaStock} from './quota-stock.js';

const plan: QuotaPlan = {
	ratePerMs: 0.1, burst: 20, ttlMs: 500, wholeTokenNodes: 0,
};

const plenty = {retryMs: 50, isPlenty: true};

test('a token is valid for its time to live after the ask was sent, however late the answer arrives', () => {
	const stock = createQuotaStock(plan);
	stock.add(2, {...plenty, tokens: 2}, 1000, 1400);
	assert.equal(stock.take(1499), 1500);
	assert.equal(stock.take(1500), undefined);
	stock.add(2, {...plenty, tokens: 2}, 1000, 1600);
	assert.equal(stock.take(1600), undefined);
});

test('a token that was given back keeps its expiry', () => {
	const stock = createQuotaStock(plan);
	stock.add(1, {...plenty, tokens: 1}, 1000, 1010);
	const expiresAt = stock.take(1010)!;
	stock.giveBack(expiresAt, 1100);
	assert.equal(stock.take(1200), expiresAt);
	stock.giveBack(expiresAt, 1500);
	assert.equal(stock.take(1499), undefined);
});

test('tokens that expire first are used first', () => {
	const stock = createQuotaStock(plan);
	stock.add(1, {...plenty, tokens: 1}, 1200, 1210);
	stock.add(1, {...plenty, tokens: 1}, 1000, 1220);
	assert.deepEqual([stock.take(1230), stock.take(1230)], [1500, 1700]);
});

test('tokens are asked for ahead of a steady demand, and none once it has ended', () => {
	const stock = createQuotaStock(plan);
	stock.add(1, {...plenty, tokens: 1}, 0, 0);
	for (let now = 0; now < 2000; now += 20) {
		stock.recordDemand(now);
	}

	const needed = stock.countNeeded(2000);
	assert.ok(needed >= 20 && needed <= 40, `${needed}`);
	stock.add(needed, {...plenty, tokens: needed}, 2000, 2010);
	assert.equal(stock.countNeeded(2010), 0);
	assert.equal(stock.countNeeded(6000), 0);
});

test('while the coordinator is short, nothing is asked for until the named time, and then only what is sure to be used', () => {
	const stock = createQuotaStock(plan);
	for (let now = 0; now < 2000; now += 20) {
		stock.recordDemand(now);
	}

	stock.add(30, {tokens: 0, retryMs: 100, isPlenty: false}, 2000, 2010);
	assert.equal(stock.getDryMs(2010), 100);
	assert.equal(stock.countNeeded(2100), 0);
	const needed = stock.countNeeded(2110);
	assert.ok(needed > 0 && needed < 25, `${needed}`);
});

test('callers that are refused together are spread over the time that their requests take', () => {
	const stock = createQuotaStock(plan);
	stock.add(1, {tokens: 0, retryMs: 100, isPlenty: false}, 1000, 1000);
	const retries = Array.from({length: 50}, () => stock.recordRefusal(1000, () => 1));
	assert.equal(retries[0], 110);
	assert.equal(retries[49], 600);
});
