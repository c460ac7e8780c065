import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId, type NodeId} from '../common/ids.js';
import {getQuotaGroup} from './quota-group.js';
import {createQuotaLedger} from './quota-ledger.js';
import {type QuotaAsk} from './quota-messages.js';
import {computeQuotaPlan} from './quota-plan.js';

const workspace = 'acme';
const group = getQuotaGroup(workspace);
const tolerance = {windowMs: 5000, overage: 0, slack: 0};
const plan = computeQuotaPlan(tolerance, {ratePerSecond: 100, burst: 20});
const nodes = [toNodeId('n1'), toNodeId('n2')];

const create = (known = 2) => {
	const ledger = createQuotaLedger('run', {
		countNodes: () => 2, isSettled: () => known > 0, countKnown: () => known, listNodes: () => nodes,
	});
	ledger.applyPlans(new Map([[workspace, plan]]), 0);
	return ledger;
};

const ask = (asker: NodeId, at: number | undefined, tokens = 0, changes: Partial<QuotaAsk> = {}): QuotaAsk => ({
	asker, nodes: 2, known: 2, stamp: at === undefined ? undefined : {run: 'run', at}, lent: at === undefined ? [] : [group], released: [], wants: tokens === 0 ? [] : [{workspace, tokens}], ...changes,
});

test('a bucket starts empty, and fills in proportion to the loans', () => {
	const ledger = create();
	assert.deepEqual(ledger.handleAsk(ask(nodes[0]!, 1000, 5), 1000).grants[0]?.tokens, 0);
	assert.ok(Math.abs(ledger.countTokens(workspace, 1100) - (plan.ratePerMs * 100 / 2)) < 1e-9);
	ledger.handleAsk(ask(nodes[1]!, 1100), 1100);
	assert.ok(Math.abs(ledger.countTokens(workspace, 1200) - (plan.ratePerMs * 150)) < 1e-9);
	assert.equal(ledger.countTokens(workspace, 1900), 20);
});

test('no more is granted than asked for and there, and a refusal names when there is more', () => {
	const ledger = create();
	ledger.handleAsk(ask(nodes[0]!, 1000), 1000);
	ledger.handleAsk(ask(nodes[1]!, 1000), 1000);
	assert.equal(ledger.handleAsk(ask(nodes[0]!, undefined, 15), 1900).grants[0]?.tokens, 15);
	const [grant] = ledger.handleAsk(ask(nodes[0]!, undefined, 15), 1900).grants;
	assert.equal(grant?.tokens, 5);
	assert.ok(grant?.retryMs !== undefined && grant.retryMs >= 50);
});

test('tokens above the share of the loans that are left are dropped, also if the loans come back before the next ask for tokens', () => {
	const ledger = create();
	ledger.handleAsk(ask(nodes[0]!, 1000), 1000);
	ledger.handleAsk(ask(nodes[1]!, 1000), 1000);
	assert.equal(ledger.countTokens(workspace, 1999), 20);
	ledger.handleAsk(ask(nodes[0]!, 2500), 2500);
	assert.equal(ledger.countTokens(workspace, 2500), 0);
});

test('a lower quota drops the tokens above its burst', () => {
	const ledger = create();
	ledger.handleAsk(ask(nodes[0]!, 1000), 1000);
	ledger.handleAsk(ask(nodes[1]!, 1000), 1000);
	ledger.applyPlans(new Map([[workspace, computeQuotaPlan(tolerance, {ratePerSecond: 100, burst: 4})]]), 1900);
	assert.equal(ledger.countTokens(workspace, 1900), 4);
});

test('a stamp of an earlier run, and a coordinator that does not know how many nodes there are, lend nothing', () => {
	const restarted = create();
	restarted.handleAsk(ask(nodes[0]!, 1000, 0, {stamp: {run: 'earlier', at: 1000}}), 1000);
	assert.equal(restarted.countTokens(workspace, 1500), 0);
	const settling = create(0);
	const answer = settling.handleAsk(ask(nodes[0]!, 1000, 5), 1000);
	assert.equal(answer.isSettling, true);
	assert.equal(settling.countTokens(workspace, 1500), 0);
});

test('where the part of the burst is less than a token, some nodes have a whole one, and not all', () => {
	const many = Array.from({length: 100}, (_, index) => toNodeId(`n${index}`));
	const small = computeQuotaPlan({windowMs: 5000, overage: 0.1, slack: 20}, {ratePerSecond: 3, burst: 0});
	let tokens = 0;
	for (const lone of many) {
		const ledger = createQuotaLedger('run', {
			countNodes: () => 100, isSettled: () => true, countKnown: () => 100, listNodes: () => many,
		});
		ledger.applyPlans(new Map([[workspace, small]]), 0);
		for (let at = 0; at < 60_000; at += 500) {
			ledger.handleAsk(ask(lone, at, 0, {nodes: 100}), at);
		}

		tokens += ledger.countTokens(workspace, 60_000);
	}

	assert.ok(tokens >= 1 && tokens <= small.wholeTokenNodes, `${tokens} tokens`);
});
