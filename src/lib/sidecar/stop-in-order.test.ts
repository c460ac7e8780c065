import assert from 'node:assert/strict';
import test, {mock} from 'node:test';
import {stopInOrder} from './stop-in-order.js';

type Recorded = {
	readonly events: readonly string[];
	/** Lets so many milliseconds pass. */
	readonly pass: (milliseconds: number) => Promise<void>;
	readonly isDone: () => boolean;
};

/** Stops a node that has requests in work until a given time. */
function startStopping(workEndsAtMs: number, limitMs: number): Recorded {
	const events: string[] = [];
	const startedAt = performance.now();
	let passed = 0;
	let isDone = false;
	const note = (event: string) => (): void => {
		events.push(`${event} ${passed}`);
	};

	const run = async (): Promise<void> => {
		await stopInOrder({
			withdraw: note('withdraw'), closeGate: note('close gate'), closeAfterAnswers: note('close after answers'), stopListening: note('stop listening'),
			countWork: () => performance.now() - startedAt < workEndsAtMs ? 1 : 0,
		}, limitMs);
		isDone = true;
	};

	void run();
	return {
		events,
		isDone: () => isDone,
		async pass(milliseconds) {
			for (let step = 0; step < milliseconds; step += 100) {
				passed += 100;
				mock.timers.tick(100);
				// Lets whatever waited for the timer go on.
				for (let turn = 0; turn < 10; turn++) {
					await Promise.resolve();
				}
			}
		},
	};
}

/** The steady clock, which the runtime's mocked timers do not move. */
function replaceSteadyClock(): void {
	const startedAt = Date.now();
	mock.method(performance, 'now', () => Date.now() - startedAt);
}

test('the gate is open while callers leave, and the node goes when nothing is in work', async context => {
	mock.timers.enable({apis: ['setTimeout', 'Date']});
	replaceSteadyClock();
	context.after(() => {
		mock.timers.reset();
		mock.restoreAll();
	});
	const stopping = startStopping(3400, 6000);
	await stopping.pass(1700);
	assert.deepEqual(stopping.events, ['withdraw 0']);
	await stopping.pass(1200);
	assert.deepEqual(stopping.events.map(event => event.replace(/ \d+$/, '')), ['withdraw', 'close gate', 'close after answers', 'stop listening']);
	assert.equal(stopping.isDone(), false);
	await stopping.pass(800);
	assert.equal(stopping.isDone(), true);
});

test('it goes before the time is over, whatever is in work', async context => {
	mock.timers.enable({apis: ['setTimeout', 'Date']});
	replaceSteadyClock();
	context.after(() => {
		mock.timers.reset();
		mock.restoreAll();
	});
	const stopping = startStopping(60_000, 6000);
	await stopping.pass(4900);
	assert.equal(stopping.isDone(), false);
	await stopping.pass(600);
	assert.equal(stopping.isDone(), true);
});
