import assert from 'node:assert/strict';
import test from 'node:test';
import {quotaTroubles, runQuotaRow, type QuotaTrouble} from './quota-table.js';

/** Restarts and freezes take nodes, the coordinator among them, away for a part of the time; a part that is lent to a frozen node is lost for a loan time. */
const getMinUsedShare = (trouble: QuotaTrouble): number => {
	switch (trouble) {
		case 'none':
		case 'uneven': {
			return 0.95;
		}

		case 'cut': {
			return 0.85;
		}

		case 'restarts':
		case 'freezes': {
			return 0.65;
		}
	}
};

for (const trouble of quotaTroubles) {
	test(`a quota that is lent to a coordinator holds and is used, whatever the trouble: ${trouble}`, () => {
		for (const limit of [{ratePerSecond: 3, burst: 5}, {ratePerSecond: 300, burst: 100}]) {
			const {most, allowed, used} = runQuotaRow('lent', trouble, 13, limit, 20_000);
			assert.ok(most <= allowed, `${most} of ${allowed} at ${limit.ratePerSecond} a second`);
			assert.ok(used >= getMinUsedShare(trouble), `${used} used at ${limit.ratePerSecond} a second`);
		}
	});
}

test('even shares exceed a quota in a partition, and leave small quotas unused', () => {
	const cut = runQuotaRow('even-shares', 'cut', 13, {ratePerSecond: 300, burst: 100}, 20_000);
	assert.ok(cut.most > cut.allowed);
	const small = runQuotaRow('even-shares', 'none', 75, {ratePerSecond: 3, burst: 5}, 20_000);
	assert.ok(small.used < 0.5);
});
