import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {toNodeId} from '../common/ids.js';
import {createGroupRanking, getQuotaGroup} from './quota-group.js';
import {
	decodeQuotaAsk, encodeQuotaAnswer, type QuotaAsk, type QuotaGrant,
} from './quota-messages.js';
import {defaultQuotaTolerance} from './quota-plan.js';
import {createQuotas, type QuotaOutcome, type QuotaScope} from './quotas.js';

const self = toNodeId('n1');
const coordinator = toNodeId('n2');
const ranking = createGroupRanking();
const name = Array.from({length: 100}, (_, index) => `w${index}`).find(workspace => ranking.chooseCoordinator(getQuotaGroup(workspace), [self, coordinator]) === coordinator)!;
const workspace = {
	name, keys: [], priority: undefined, ratePerSecond: 100, burst: 20,
};

const createScope = (handleSubscribed: (handleEnd: () => void) => void): QuotaScope => ({
	subscribe(handleEnd) {
		handleSubscribed(handleEnd);
		return () => undefined;
	},
});

const openScope = createScope(() => undefined);

/** Creates quotas whose coordinator answers as told, 20 ms later. */
function create(context: TestContext, decide: (ask: QuotaAsk) => readonly QuotaGrant[] | undefined) {
	const asks: QuotaAsk[] = [];
	const outcomes: QuotaOutcome[] = [];
	const quotas = createQuotas({
		tolerance: defaultQuotaTolerance, self, linkMbps: 10, run: 'r', random: () => 0.5,
		listPeers: () => [{
			node: coordinator, heardAt: performance.now(), isLeaving: false, isReachable: true, linkMbps: 10,
		}],
		async sendAsk(_to, head) {
			const ask = decodeQuotaAsk(head);
			if (ask.wants.length > 0) {
				asks.push(ask);
			}

			await delay(20);
			const grants = decide(ask);
			return grants === undefined
				? undefined
				: encodeQuotaAnswer({
					stamp: {run: 'other', at: 1}, known: 2, isSettling: false, grants,
				});
		},
		countOutcome(_workspace, outcome) {
			outcomes.push(outcome);
		},
	});
	quotas.applyWorkspaces([workspace]);
	context.after(quotas.dispose);
	return {quotas, asks, outcomes};
}

const grantAll = (ask: QuotaAsk): readonly QuotaGrant[] => ask.wants.map(({tokens}) => ({tokens, retryMs: 50, isPlenty: false}));

test('requests that arrive while an ask is on its way share the next one', async context => {
	const {quotas, asks} = create(context, grantAll);
	const decisions = await Promise.all(Array.from({length: 5}, async () => quotas.acquire(workspace, 500, openScope)));
	assert.ok(decisions.every(({type}) => type === 'granted'));
	assert.ok(asks.length <= 2, `${asks.length} asks`);
});

test('a request over the quota is refused with the time until there are tokens, and no ask is sent before', async context => {
	const {quotas, asks, outcomes} = create(context, ask => ask.wants.map(() => ({tokens: 0, retryMs: 400, isPlenty: false})));
	const first = await quotas.acquire(workspace, 500, openScope);
	const second = await quotas.acquire(workspace, 500, openScope);
	assert.ok(first.type === 'over' && first.retryAfterMs >= 400);
	assert.ok(second.type === 'over' && second.retryAfterMs > 300);
	assert.equal(asks.length, 1);
	assert.deepEqual(outcomes, ['over', 'over']);
});

test('without an answer, a request waits as long as it may and is refused as unknown', async context => {
	const {quotas, outcomes} = create(context, () => undefined);
	const startedAt = performance.now();
	const decision = await quotas.acquire(workspace, 100, openScope);
	assert.ok(decision.type === 'unknown' && decision.retryAfterMs > 0);
	assert.ok(performance.now() - startedAt >= 95);
	assert.deepEqual(outcomes, ['unknown']);
});

test('a request whose caller leaves no longer waits', async context => {
	const {quotas} = create(context, () => undefined);
	let end = (): void => undefined;
	const pending = quotas.acquire(workspace, 5000, createScope(handleEnd => {
		end = handleEnd;
	}));
	end();
	assert.equal((await pending).type, 'cancelled');
	const ended = await quotas.acquire(workspace, 5000, createScope(handleEnd => {
		handleEnd();
	}));
	assert.equal(ended.type, 'cancelled');
});

test('a token that was given back serves the next request without an ask, once', async context => {
	const {quotas, asks, outcomes} = create(context, grantAll);
	const first = await quotas.acquire(workspace, 500, openScope);
	assert.ok(first.type === 'granted' && first.hasWaited);
	first.giveBack();
	first.giveBack();
	const second = await quotas.acquire(workspace, 500, openScope);
	assert.ok(second.type === 'granted' && !second.hasWaited);
	assert.equal(asks.length, 1);
	assert.deepEqual(outcomes, ['waited', 'returned', 'granted']);
});

test('a workspace without a quota is not limited, and nothing is sent for it', async context => {
	const {quotas, asks} = create(context, grantAll);
	const decision = await quotas.acquire({...workspace, name: 'free', ratePerSecond: undefined}, 0, openScope);
	assert.equal(decision.type, 'granted');
	assert.equal(asks.length, 0);
});
