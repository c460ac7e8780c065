import assert from 'node:assert/strict';
import test, {mock} from 'node:test';
import {runGracefulShutdown} from './graceful-shutdown.js';

/** What a node has in flight, and until when, in milliseconds since the shutdown began. */
type InFlight = {
	readonly untilMs: number;
	/** Until when the backend server beside the node works on requests; 0 if omitted. */
	readonly serverUntilMs?: number;
};

type Recorded = {
	readonly events: readonly string[];
	/** Advances the clock and the timers. */
	readonly advance: (milliseconds: number) => Promise<void>;
	readonly isDone: () => boolean;
};

/** Shuts down a node that has requests in flight. */
function startShutdown({untilMs, serverUntilMs = 0}: InFlight, limitMs: number): Recorded {
	const events: string[] = [];
	const startedAt = performance.now();
	let passed = 0;
	let isDone = false;
	const note = (event: string) => (): void => {
		events.push(`${event} ${passed}`);
	};

	const run = async (): Promise<void> => {
		await runGracefulShutdown({
			answerBy: () => undefined,
			withdraw: note('withdraw'), closeGate: note('close gate'), closeAfterAnswers: note('close after answers'), refuseLateRequests: note('refuse late requests'), async stopListening() {
				note('stop listening')();
			},
			countServerRequests: () => performance.now() - startedAt < serverUntilMs ? 1 : 0,
			countInFlight: () => performance.now() - startedAt < untilMs ? 1 : 0,
			handleStep: () => undefined,
		}, limitMs);
		isDone = true;
	};

	void run();
	return {
		events,
		isDone: () => isDone,
		async advance(milliseconds) {
			for (let step = 0; step < milliseconds; step += 100) {
				passed += 100;
				mock.timers.tick(100);
				// Lets the code that awaited the timer continue.
				for (let turn = 0; turn < 10; turn++) {
					await Promise.resolve();
				}
			}
		},
	};
}

/** Replaces the steady clock, which the mocked timers of Node.js do not advance. */
function replaceSteadyClock(): void {
	const startedAt = Date.now();
	mock.method(performance, 'now', () => Date.now() - startedAt);
}

test('the gate stays open while callers leave, and the shutdown ends when no request is in flight', async context => {
	mock.timers.enable({apis: ['setTimeout', 'Date']});
	replaceSteadyClock();
	context.after(() => {
		mock.timers.reset();
		mock.restoreAll();
	});
	const shutdown = startShutdown({untilMs: 3400}, 6000);
	await shutdown.advance(1700);
	assert.deepEqual(shutdown.events, ['withdraw 0', 'close after answers 0']);
	await shutdown.advance(1200);
	assert.deepEqual(shutdown.events.map(event => event.replace(/ \d+$/, '')), ['withdraw', 'close after answers', 'close gate', 'refuse late requests', 'stop listening']);
	assert.equal(shutdown.isDone(), false);
	await shutdown.advance(800);
	assert.equal(shutdown.isDone(), true);
});

test('the shutdown ends before its deadline although requests are in flight', async context => {
	mock.timers.enable({apis: ['setTimeout', 'Date']});
	replaceSteadyClock();
	context.after(() => {
		mock.timers.reset();
		mock.restoreAll();
	});
	const shutdown = startShutdown({untilMs: 60_000}, 6000);
	await shutdown.advance(4900);
	assert.equal(shutdown.isDone(), false);
	await shutdown.advance(600);
	assert.equal(shutdown.isDone(), true);
});

// Guards against a server that cannot make the calls that it needs for a request which the node has taken.
test('the node listens while its server works on requests, until the last answers must have been sent', async context => {
	mock.timers.enable({apis: ['setTimeout', 'Date']});
	replaceSteadyClock();
	context.after(() => {
		mock.timers.reset();
		mock.restoreAll();
	});
	const shutdown = startShutdown({untilMs: 4200, serverUntilMs: 4000}, 6000);
	await shutdown.advance(3900);
	assert.deepEqual(shutdown.events.map(event => event.replace(/ \d+$/, '')), ['withdraw', 'close after answers', 'close gate', 'refuse late requests']);
	await shutdown.advance(200);
	assert.equal(shutdown.events.at(-1)?.startsWith('stop listening'), true);
	assert.equal(shutdown.isDone(), false);
	await shutdown.advance(300);
	assert.equal(shutdown.isDone(), true);

	const endless = startShutdown({untilMs: 60_000, serverUntilMs: 60_000}, 6000);
	await endless.advance(5500);
	assert.equal(endless.events.at(-1)?.startsWith('stop listening'), true);
	assert.equal(endless.isDone(), true);
});
