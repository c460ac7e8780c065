import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createMemoryLedger, type MemoryAccount} from './memory-ledger.js';

const limits = {bufferBytes: 1000, requestBytes: 100};

/** More than the time after which a client counts as one without progress. */
const longMs = 1500;

const delay = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

// Guards against a sum that exceeds its bound through many clients that each hold little.
test('whatever is added and released, the sum of what can be given up stays within the bound', () => {
	fc.assert(fc.property(fc.array(fc.record({client: fc.nat(9), bytes: fc.integer({min: 1, max: 400}), isRelease: fc.boolean()}), {maxLength: 200}), steps => {
		const ledger = createMemoryLedger(limits);
		const accounts = new Map<number, {account: MemoryAccount; held: number}>();
		const getClient = (client: number) => {
			const known = accounts.get(client);
			if (known !== undefined) {
				return known;
			}

			const opened = {
				account: ledger.open(() => {
					accounts.delete(client);
				}), held: 0,
			};
			accounts.set(client, opened);
			return opened;
		};

		for (const {client, bytes, isRelease} of steps) {
			const one = getClient(client);
			if (isRelease) {
				one.account.release('buffers', one.held);
				one.held = 0;
			} else {
				one.held += bytes;
				one.account.add('buffers', bytes);
			}

			assert.ok(ledger.count('buffers') <= limits.bufferBytes);
			assert.equal(ledger.count('buffers'), [...accounts.values()].reduce((sum, {held}) => sum + held, 0));
		}
	}));
});

// Guards against a bound at the expense of clients that read: the one that holds most and has stopped reading goes first.
test('of the clients without progress the one that holds most is given up, before those that make progress', async () => {
	const ledger = createMemoryLedger(limits);
	const evicted: string[] = [];
	const open = (name: string): MemoryAccount => ledger.open(() => {
		evicted.push(name);
	});
	const reading = open('reading');
	const stalledLittle = open('stalled-little');
	const stalledMuch = open('stalled-much');
	reading.add('buffers', 500);
	stalledLittle.add('buffers', 100);
	stalledMuch.add('buffers', 300);
	await delay(longMs);
	reading.recordProgress();
	reading.add('buffers', 200);
	assert.deepEqual(evicted, ['stalled-much']);
	reading.add('buffers', 300);
	assert.deepEqual(evicted, ['stalled-much', 'stalled-little']);
	reading.add('buffers', 1);
	assert.deepEqual(evicted, ['stalled-much', 'stalled-little', 'reading']);
	assert.equal(ledger.count('buffers'), 0);
	assert.equal(ledger.countEvicted(), 3);
});

// Guards against a client inside the limits that is refused for what it needs alone, and against room at the expense of clients that make progress.
test('room is made at the expense of clients without progress only, and there is always room if nothing is held', async () => {
	const ledger = createMemoryLedger(limits);
	assert.equal(ledger.clearRoom('buffers', 5000), true);
	const evicted: string[] = [];
	const account = ledger.open(() => {
		evicted.push('a');
	});
	account.add('buffers', 900);
	assert.equal(ledger.hasRoom('buffers', 200), false);
	assert.equal(ledger.clearRoom('buffers', 200), false);
	assert.deepEqual(evicted, []);
	await delay(longMs);
	assert.equal(ledger.clearRoom('buffers', 200), true);
	assert.deepEqual(evicted, ['a']);
});

// Guards against a client that is cut off while it can do nothing but wait for its server.
test('a client that waits for a server counts as one that makes progress', async () => {
	const ledger = createMemoryLedger(limits);
	const evicted: string[] = [];
	let isServed = true;
	const account = ledger.open(() => {
		evicted.push('a');
	}, () => isServed);
	account.add('buffers', 900);
	await delay(longMs);
	assert.equal(ledger.clearRoom('buffers', 200), false);
	assert.deepEqual(evicted, []);
	isServed = false;
	assert.equal(ledger.clearRoom('buffers', 200), true);
	assert.deepEqual(evicted, ['a']);
});

test('an account that is closed or was given up changes no sum any more', () => {
	const ledger = createMemoryLedger(limits);
	const account = ledger.open(() => undefined);
	account.add('requests', 101);
	assert.equal(ledger.count('requests'), 0);
	account.release('requests', 101);
	account.add('requests', 5);
	account.close();
	assert.equal(ledger.count('requests'), 0);
});

// Guards against a bound on all clients that refuses a single body or answer inside the limits, and against many that use its exception.
test('one request may hold more than the bound of all, as a body and its answer, while little is held for others', () => {
	const ledger = createMemoryLedger({...limits, loneBufferBytes: 1800});
	const evicted: string[] = [];
	const open = (name: string): MemoryAccount => ledger.open(() => {
		evicted.push(name);
	});
	const body = open('body');
	const answer = open('answer');
	const short = open('short');
	short.add('buffers', 100);
	body.add('buffers', 700);
	answer.add('buffers', 800);
	assert.deepEqual(evicted, []);
	short.add('buffers', 100);
	assert.deepEqual(evicted, ['answer']);
	const lone = open('lone');
	lone.add('buffers', 901);
	assert.deepEqual(evicted, ['answer', 'lone']);
});
