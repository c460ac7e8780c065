import assert from 'node:assert/strict';
import test from 'node:test';
import {
	createSlotPool, type SlotPool, type SlotOutcome, type SlotRequest,
} from './slot-pool.js';

function createRequest(changes: Partial<SlotRequest> = {}): SlotRequest {
	return {
		rank: 1, mayWaitMs: 400, lastAt: performance.now() + 60_000, listenForCancel: () => () => undefined, ...changes,
	};
}

/** Creates a pool with one slot, which is in use, and a service time of 60 ms. */
async function createBusyPool(): Promise<SlotPool> {
	const pool = createSlotPool(1);
	assert.deepEqual(await pool.acquire(createRequest()), {type: 'run'});
	return pool;
}

test('a released slot goes to the queued request with the lowest rank', async () => {
	const pool = await createBusyPool();
	const order: string[] = [];
	const ask = async (name: string, rank: number): Promise<void> => {
		const outcome = await pool.acquire(createRequest({rank}));
		order.push(`${name} ${outcome.type}`);
	};

	const asked = [ask('second', 2), ask('first', 1)];
	assert.deepEqual(pool.describe(), {
		running: 1, waiting: 2, serviceMs: 60, waitingByPriority: [2],
	});
	pool.release(undefined);
	await asked[1];
	pool.release(undefined);
	await Promise.all(asked);
	assert.deepEqual(order, ['first run', 'second run']);
	assert.equal(pool.describe().running, 1);
});

test('a request that may not wait is refused immediately, with a retry delay', async () => {
	const pool = await createBusyPool();
	assert.deepEqual(await pool.acquire(createRequest({mayWaitMs: 0})), {
		type: 'full', reason: 'no slot in time', retryAfterMs: 60, cause: 'no-slot',
	});
});

test('a request that times out or is cancelled while queued gets no slot', async () => {
	const pool = await createBusyPool();
	const late = pool.acquire(createRequest({lastAt: performance.now() + 20}));
	let leave = (): void => undefined;
	const left = pool.acquire(createRequest({
		listenForCancel(handleCancel) {
			leave = handleCancel;
			return () => undefined;
		},
	}));
	leave();
	const outcomes: SlotOutcome[] = await Promise.all([late, left]);
	assert.deepEqual(outcomes.map(({type}) => type), ['full', 'cancelled']);
	assert.deepEqual(pool.describe(), {
		running: 1, waiting: 0, serviceMs: 60, leastUrgent: 0,
	});
});

test('queued requests get the slots that a resize adds', async () => {
	const pool = await createBusyPool();
	const waiting = pool.acquire(createRequest());
	pool.resize(2);
	assert.deepEqual(await waiting, {type: 'run'});
	assert.equal(pool.describe().running, 2);
});

test('closing the pool ends the wait of queued requests immediately', async () => {
	const pool = await createBusyPool();
	const waiting = [pool.acquire(createRequest()), pool.acquire(createRequest({rank: 2}))];
	pool.close();
	assert.deepEqual(await Promise.all(waiting), [{type: 'gone'}, {type: 'gone'}]);
	assert.equal(pool.describe().waiting, 0);
});
