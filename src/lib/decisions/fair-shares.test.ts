import assert from 'node:assert/strict';
import test from 'node:test';
import {createFairShares, type FairShares} from './fair-shares.js';
import {createShareRefusals} from './share-refusals.js';
import {
	admitToQueue, createSlotQueue, finishRequest, removeFromQueue, recordRefusal, type QueuedRequest, type SlotQueue,
} from './slot-queue.js';

const rank = 1_000_700;

/** Runs requests of a workspace at a steady rate. */
function runSteadily(shares: FairShares, workspace: string, perSecond: number, fromMs: number, toMs: number): void {
	for (let now = fromMs; now < toMs; now += 1000 / perSecond) {
		shares.recordStart(workspace, shares.stamp(workspace, 100, now), now);
	}
}

test('a workspace at eight times its usual rate is over its share within a second, and one at its usual rate is not', () => {
	const shares = createFairShares(0);
	runSteadily(shares, 'steady', 8, 0, 21_000);
	runSteadily(shares, 'greedy', 1, 0, 20_000);
	assert.equal(shares.isOverShare('greedy', 20_000), false);
	runSteadily(shares, 'greedy', 8, 20_000, 21_000);
	assert.equal(shares.isOverShare('greedy', 21_000), true);
	assert.equal(shares.isOverShare('steady', 21_000), false);
});

test('after the start of a gate, no workspace is over its share until usual rates are known', () => {
	const shares = createFairShares(0);
	runSteadily(shares, 'large', 20, 0, 3900);
	assert.equal(shares.isOverShare('large', 3900), false);
	runSteadily(shares, 'large', 20, 3900, 8000);
	assert.equal(shares.isOverShare('large', 8000), false);
});

test('a single request of a workspace that was idle for long is within its share', () => {
	const shares = createFairShares(0);
	runSteadily(shares, 'rare', 1, 20_000, 20_001);
	assert.equal(shares.isOverShare('rare', 20_001), false);
});

test('workspaces without requests are forgotten', () => {
	const shares = createFairShares(0);
	for (let index = 0; index < 500; index++) {
		runSteadily(shares, `w${index}`, 1, 0, 1);
	}

	assert.equal(shares.count(), 500);
	runSteadily(shares, 'other', 1, 90_000, 90_001);
	assert.equal(shares.count(), 1);
});

test('requests of two workspaces that wait take turns, by their usual rates', () => {
	const shares = createFairShares(0);
	for (let now = 0; now < 30_000; now += 500) {
		shares.recordStart('large', 0, now);
		shares.recordStart('large', 0, now);
		shares.recordStart('small', 0, now);
	}

	let {queue} = admitToQueue(createSlotQueue(1), {
		id: 0, rank, startBy: 90_000, waitUntil: 90_000,
	}, 30_000);
	const arrivals = ['large', 'large', 'large', 'small'];
	queue = {...queue, slots: 4, running: 4};
	for (const [index, workspace] of arrivals.entries()) {
		queue = admitToQueue(queue, {
			id: index + 1, rank, startBy: 90_000, waitUntil: 90_000, startTag: shares.stamp(workspace, 100, 30_000),
		}, 30_000).queue;
	}

	const order = queue.waiting.map(({id}) => arrivals[id - 1]);
	assert.equal(order.at(-1), 'large');
	assert.ok(order.indexOf('small') < 3);
});

test('requests without a workspace go before those with one, and priorities go before shares', () => {
	let queue: SlotQueue = {...createSlotQueue(4), running: 4};
	const requests: ReadonlyArray<Partial<QueuedRequest>> = [{startTag: 5}, {startTag: 1}, {}, {startTag: 99, rank: 700}, {rank: 0.1}, {startTag: 0, rank: 2_000_000}];
	for (const [id, request] of requests.entries()) {
		queue = admitToQueue(queue, {
			id, rank, startBy: 9000, waitUntil: 9000, ...request,
		}, 0).queue;
	}

	assert.deepEqual(queue.waiting.map(({id}) => id), [4, 3, 2, 1, 0, 5]);
});

test('a full queue evicts the request of the workspace that is furthest ahead of its share', () => {
	let queue: SlotQueue = {...createSlotQueue(1), running: 1};
	for (const [id, startTag] of [30, 10, 20].entries()) {
		queue = admitToQueue(queue, {
			id, rank, startBy: 9000, waitUntil: 9000, startTag,
		}, 0).queue;
	}

	const {decision} = admitToQueue(queue, {
		id: 9, rank, startBy: 9000, waitUntil: 9000, startTag: 5,
	}, 0);
	assert.equal(decision.type === 'wait' ? decision.evicted?.id : undefined, 0);
});

test('a workspace over its share does not queue where others were refused, and its own refusals do not hold back others', () => {
	const busy: SlotQueue = {...createSlotQueue(2), running: 2};
	const greedy: QueuedRequest = {
		id: 1, rank, startBy: 500, waitUntil: 500, startTag: 50, isOverShare: true,
	};
	assert.equal(admitToQueue(recordRefusal(busy, greedy, 0), greedy, 10).decision.type, 'wait');
	const {decision} = admitToQueue(recordRefusal(busy, {rank}, 0), greedy, 10);
	assert.equal(decision.type === 'full' ? decision.cause : '', 'over-share');
	assert.equal(admitToQueue({...recordRefusal(busy, {rank}, 0), running: 1}, greedy, 10).decision.type, 'run');
});

test('an entry refuses a workspace after two refusals for its share, until one of its requests gets a slot or half a second has passed', () => {
	const refusals = createShareRefusals();
	refusals.record('greedy', 0);
	assert.equal(refusals.isOverShare('greedy', 10), false);
	refusals.record('greedy', 10);
	assert.equal(refusals.isOverShare('greedy', 20), true);
	assert.equal(refusals.isOverShare('other', 20), false);
	assert.equal(refusals.isOverShare('greedy', 511), false);
	refusals.record('greedy', 600);
	refusals.record('greedy', 600);
	refusals.recordGrant('greedy');
	assert.equal(refusals.isOverShare('greedy', 610), false);
});

type Arrival = {readonly at: number; readonly workspace: string};

/** Lists arrivals at steady rates, each workspace with an offset of its own. */
function listArrivals(rates: ReadonlyArray<readonly [string, number, number, number]>): readonly Arrival[] {
	return rates.flatMap(([workspace, perSecond, fromMs, toMs], index) => {
		const times: Arrival[] = [];
		for (let at = fromMs + (index * 7); at < toMs; at += 1000 / perSecond) {
			times.push({at, workspace});
		}

		return times;
	}).toSorted((left, right) => left.at - right.at);
}

/** Plays arrivals at one gate with six slots and 280 ms of work; returns the share of the requests of each workspace that ran. */
function runGate(arrivals: readonly Arrival[]): ReadonlyMap<string, number> {
	const workMs = 280;
	const shares = createFairShares(0);
	let queue: SlotQueue = {...createSlotQueue(6), serviceMs: workMs};
	const workspaces = new Map<number, string>();
	const ends: Array<{readonly at: number}> = [];
	const counts = new Map<string, {asked: number; ran: number}>();
	const start = ({id, startTag}: QueuedRequest, now: number): void => {
		const workspace = workspaces.get(id)!;
		shares.recordStart(workspace, startTag!, now);
		counts.get(workspace)!.ran++;
		ends.push({at: now + workMs});
	};

	const finishUntil = (now: number): void => {
		while (ends[0] !== undefined && ends[0].at <= now) {
			const {at} = ends.shift()!;
			const step = finishRequest(queue, workMs, at);
			queue = step.queue;
			for (const started of step.started) {
				start(started, at);
			}
		}
	};

	for (const [id, {at, workspace}] of arrivals.entries()) {
		finishUntil(at);
		for (const late of queue.waiting.filter(({waitUntil}) => waitUntil <= at)) {
			queue = recordRefusal(removeFromQueue(queue, late.id), late, at);
			shares.giveBack(workspaces.get(late.id)!, workMs, at);
		}

		const count = counts.get(workspace) ?? {asked: 0, ran: 0};
		counts.set(workspace, count);
		count.asked++;
		workspaces.set(id, workspace);
		const request: QueuedRequest = {
			id, rank, startBy: at + 150, waitUntil: at + 300, isOverShare: shares.isOverShare(workspace, at), startTag: shares.stamp(workspace, workMs, at),
		};
		const {queue: next, decision} = admitToQueue(queue, request, at);
		queue = next;
		if (decision.type === 'run') {
			start(request, at);
		} else if (decision.type === 'full') {
			shares.giveBack(workspace, workMs, at);
		}
	}

	return new Map([...counts].map(([workspace, {asked, ran}]) => [workspace, ran / asked]));
}

test('a workspace with eight times its usual load costs the others less than 0.02 of their requests', () => {
	const usual: ReadonlyArray<readonly [string, number, number, number]> = [
		['large', 6, 0, 40_000], ['middle', 4, 0, 40_000], ['small', 2, 0, 40_000], ['smaller', 1.5, 0, 40_000], ['greedy', 2, 0, 40_000],
	];
	const before = runGate(listArrivals(usual));
	const after = runGate(listArrivals([...usual, ['greedy', 14, 20_000, 29_000]]));
	for (const workspace of ['large', 'middle', 'small', 'smaller']) {
		assert.ok(after.get(workspace)! > before.get(workspace)! - 0.02, `${workspace}: ${before.get(workspace)} to ${after.get(workspace)}`);
	}

	assert.ok(after.get('greedy')! > 0.3, String(after.get('greedy')));
});
