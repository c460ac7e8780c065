import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	admitLimited, changeLimit, computeNextStartMs, createLimiterState, removeLimited, startLimited, type LimiterState,
} from './limiter-state.js';

/** What happens at a limiter: requests that arrive, time that passes, a restart of the node, another limit. */
type Step =
	| {readonly type: 'ask'; readonly caller: string; readonly rank: number; readonly mayWaitMs: number}
	| {readonly type: 'pass'; readonly milliseconds: number}
	| {readonly type: 'freeze'; readonly milliseconds: number}
	| {readonly type: 'restart'}
	| {readonly type: 'cancel'; readonly id: number};

const spanMs = 4000;

/** Runs steps and returns the times at which requests started. */
function runSteps(limitPerSecond: number, steps: readonly Step[]): readonly number[] {
	let now = 0;
	let id = 0;
	let state: LimiterState = createLimiterState(limitPerSecond, now);
	const startedAt: number[] = [];

	const startDue = (): void => {
		const step = startLimited(state, now);
		state = step.state;
		startedAt.push(...step.started.map(() => now));
	};

	const advanceTo = (end: number): void => {
		for (let next = computeNextStartMs(state, now); next !== undefined && now + next + 1 <= end; next = computeNextStartMs(state, now)) {
			now += next + 1;
			startDue();
		}

		now = end;
	};

	for (const step of steps) {
		switch (step.type) {
			case 'ask': {
				const admitted = admitLimited(state, {...step, id: id++}, now);
				state = admitted.state;
				startedAt.push(...admitted.decision.type === 'run' ? [now] : []);
				break;
			}

			case 'pass': {
				advanceTo(now + step.milliseconds);
				break;
			}

			case 'freeze': {
				now += step.milliseconds;
				startDue();
				break;
			}

			case 'restart': {
				state = createLimiterState(limitPerSecond, now);
				break;
			}

			case 'cancel': {
				state = removeLimited(state, step.id);
				break;
			}
		}
	}

	return startedAt;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 20, arbitrary: fc.record({
			type: fc.constant('ask' as const), caller: fc.constantFrom('a', 'b', 'c'), rank: fc.nat(2), mayWaitMs: fc.constantFrom(0, 30, 500, 3000),
		}),
	},
	{weight: 10, arbitrary: fc.record({type: fc.constant('pass' as const), milliseconds: fc.nat(300)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('freeze' as const), milliseconds: fc.nat(5000)})},
	{weight: 1, arbitrary: fc.constant({type: 'restart' as const})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cancel' as const), id: fc.nat(300)})},
);

test('in any span a server gets at most one and a half times what its limit allows and five more, through restarts and freezes', () => {
	fc.assert(fc.property(fc.constantFrom(0, 0.3, 1, 2.5, 23.4, 200), fc.array(stepArbitrary, {minLength: 200, maxLength: 600}), (limit, steps) => {
		const startedAt = runSteps(limit, steps);
		for (const start of startedAt) {
			const count = startedAt.filter(at => at >= start && at <= start + spanMs).length;
			assert.ok(count <= (limit * 1.5 * spanMs / 1000) + 5, `${count} requests within ${spanMs} ms at a limit of ${limit}`);
		}
	}), {numRuns: 200});
});

/** Callers that ask at constant rates, all without waiting. Returns how many requests of each started. */
function runCallers(limitPerSecond: number, perSecond: Readonly<Record<string, number>>, forMs: number): Readonly<Record<string, number>> {
	let state = createLimiterState(limitPerSecond, 0);
	const started = Object.fromEntries(Object.keys(perSecond).map(caller => [caller, 0]));
	for (let now = 0; now < forMs; now++) {
		for (const [caller, rate] of Object.entries(perSecond)) {
			if (Math.floor(now * rate / 1000) === Math.floor((now + 1) * rate / 1000)) {
				continue;
			}

			const step = admitLimited(state, {
				id: now, caller, rank: 1, mayWaitMs: 0,
			}, now);
			state = step.state;
			started[caller] = (started[caller] ?? 0) + (step.decision.type === 'run' ? 1 : 0);
		}
	}

	return started;
}

test('a caller that asks ten times as often as another gets no more than the other leaves', () => {
	const {greedy, modest} = runCallers(10, {greedy: 200, modest: 20}, 20_000);
	assert.ok(modest! >= 85 && greedy! >= 85, `greedy ${greedy}, modest ${modest}, of 200`);
});

test('a caller that asks for less than its share gets it, and the others use what it leaves', () => {
	const {greedy, modest} = runCallers(10, {greedy: 200, modest: 2}, 20_000);
	assert.ok(modest! >= 36, `modest got ${modest} of 40`);
	assert.ok(greedy! + modest! >= 190, `${greedy! + modest!} of 200 used`);
});

test('waiting requests start by rank', () => {
	let state = createLimiterState(10, 0);
	for (const [id, rank] of [2, 1, 0].entries()) {
		state = admitLimited(state, {
			id, caller: 'a', rank, mayWaitMs: 1000,
		}, 0).state;
	}

	const order: number[] = [];
	for (let now = 0; now <= 400; now += 10) {
		const step = startLimited(state, now);
		state = step.state;
		order.push(...step.started.map(({rank}) => rank));
	}

	assert.deepEqual(order, [0, 1, 2]);
});

test('a limit that falls leaves no tokens beyond the new burst', () => {
	const state = changeLimit(createLimiterState(100, 0), 1, 10_000);
	assert.equal(state.bucket.tokens, 2);
});
