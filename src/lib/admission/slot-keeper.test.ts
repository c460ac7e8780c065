import assert from 'node:assert/strict';
import test from 'node:test';
import {
	createSlotKeeper, type SlotKeeper, type SlotOutcome, type SlotRequest,
} from './slot-keeper.js';

function createRequest(changes: Partial<SlotRequest> = {}): SlotRequest {
	return {
		rank: 1, mayWaitMs: 400, lastAt: performance.now() + 60_000, listenForEnd: () => () => undefined, ...changes,
	};
}

/** A server with one slot, which is taken, and a service time of 60 ms. */
async function createBusyKeeper(): Promise<SlotKeeper> {
	const keeper = createSlotKeeper(1);
	assert.deepEqual(await keeper.acquire(createRequest()), {type: 'run'});
	return keeper;
}

test('a request that waits gets the slot when it is released, the lower rank first', async () => {
	const keeper = await createBusyKeeper();
	const order: string[] = [];
	const ask = async (name: string, rank: number): Promise<void> => {
		const outcome = await keeper.acquire(createRequest({rank}));
		order.push(`${name} ${outcome.type}`);
	};

	const asked = [ask('second', 2), ask('first', 1)];
	assert.deepEqual(keeper.describe(), {running: 1, waiting: 2, serviceMs: 60});
	keeper.release(undefined);
	await asked[1];
	keeper.release(undefined);
	await Promise.all(asked);
	assert.deepEqual(order, ['first run', 'second run']);
	assert.equal(keeper.describe().running, 1);
});

test('a request that may not wait is refused at once, with when to come back', async () => {
	const keeper = await createBusyKeeper();
	assert.deepEqual(await keeper.acquire(createRequest({mayWaitMs: 0})), {type: 'full', reason: 'no slot in time', retryAfterMs: 60});
});

test('a request whose time is over, or whose caller leaves, takes no slot', async () => {
	const keeper = await createBusyKeeper();
	const late = keeper.acquire(createRequest({lastAt: performance.now() + 20}));
	let leave = (): void => undefined;
	const left = keeper.acquire(createRequest({
		listenForEnd(handleEnd) {
			leave = handleEnd;
			return () => undefined;
		},
	}));
	leave();
	const outcomes: SlotOutcome[] = await Promise.all([late, left]);
	assert.deepEqual(outcomes.map(({type}) => type), ['full', 'cancelled']);
	assert.deepEqual(keeper.describe(), {running: 1, waiting: 0, serviceMs: 60});
});

test('when a server has more slots than before, requests that wait get them', async () => {
	const keeper = await createBusyKeeper();
	const waiting = keeper.acquire(createRequest());
	keeper.resize(2);
	assert.deepEqual(await waiting, {type: 'run'});
	assert.equal(keeper.describe().running, 2);
});

test('when the server is gone, requests that wait are told at once', async () => {
	const keeper = await createBusyKeeper();
	const waiting = [keeper.acquire(createRequest()), keeper.acquire(createRequest({rank: 2}))];
	keeper.end();
	assert.deepEqual(await Promise.all(waiting), [{type: 'gone'}, {type: 'gone'}]);
	assert.equal(keeper.describe().waiting, 0);
});
