import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createElapsedClock, type ElapsedClock} from './elapsed-clock.js';

type FakeVm = {
	readonly clock: ElapsedClock;
	/** The suspensions that were reported, in milliseconds. */
	readonly resumes: readonly number[];
	/** Lets the VM run for a time. */
	readonly run: (milliseconds: number) => void;
	readonly suspend: (milliseconds: number) => void;
	/** Sets the time of day forward or back. */
	readonly setClock: (stepMs: number) => void;
};

/** Creates the clocks of a VM. Its uptime has a resolution of 10 ms, or is not available. */
function createFakeVm(hasUptime = true): FakeVm {
	let awake = 1000;
	let boot = 500_000;
	let now = 1_764_723_600_000;
	const resumes: number[] = [];
	const clock = createElapsedClock({readAwakeMs: () => awake, readNow: () => now, readUptimeMs: () => hasUptime ? Math.floor(boot / 10) * 10 : undefined});
	clock.watchResume(suspendedMs => {
		resumes.push(suspendedMs);
	});
	return {
		clock,
		resumes,
		run(milliseconds) {
			awake += milliseconds;
			boot += milliseconds;
			now += milliseconds;
		},
		suspend(milliseconds) {
			boot += milliseconds;
			now += milliseconds;
		},
		setClock(stepMs) {
			now += stepMs;
		},
	};
}

test('elapsed time includes a suspension, which is reported once, before the read that detects it returns', () => {
	const {clock, resumes, run, suspend} = createFakeVm();
	assert.equal(clock.read(), 1000);
	run(300);
	suspend(2500);
	assert.equal(clock.read(), 3800);
	assert.deepEqual(resumes, [2500]);
	run(10);
	assert.equal(clock.read(), 3810);
	assert.deepEqual([resumes, clock.getSuspendedMs()], [[2500], 2500]);
});

for (const stepMs of [2000, -2000, 60, -60]) {
	test(`setting the time of day by ${stepMs} ms and back is not reported as a suspension`, () => {
		const {clock, resumes, run, setClock} = createFakeVm();
		setClock(stepMs);
		assert.equal(clock.read(), 1000);
		run(5000);
		setClock(-stepMs);
		assert.equal(clock.read(), 6000);
		assert.deepEqual(resumes, []);
	});
}

test('without an uptime, a jump of the time of day is not reported as a suspension', () => {
	const {clock, resumes, suspend} = createFakeVm(false);
	suspend(2000);
	assert.equal(clock.read(), 1000);
	assert.deepEqual(resumes, []);
});

test('drift between uptime and steady clock is not reported as a suspension when the time of day is set', () => {
	const {clock, resumes, run, suspend, setClock} = createFakeVm();
	for (let step = 0; step < 100; step++) {
		run(400);
		suspend(30);
		clock.updateOffsets();
	}

	setClock(2000);
	clock.read();
	assert.deepEqual(resumes, []);
});

/** Error of the measured length of one suspension: it is taken from the time of day, which may have been slewed by an amount below the detection threshold. */
const errorPerSuspensionMs = 60;

test('property: elapsed time never decreases, and equals the time awake plus the time suspended, even if the time of day is set', () => {
	const step = fc.oneof(
		fc.record({type: fc.constant('run' as const), ms: fc.integer({min: 0, max: 3000})}),
		fc.record({type: fc.constant('suspend' as const), ms: fc.integer({min: 100, max: 8000})}),
		fc.record({type: fc.constant('set' as const), ms: fc.integer({min: -5000, max: 5000})}),
	);
	fc.assert(fc.property(fc.array(step, {maxLength: 30}), steps => {
		const {clock, run, suspend, setClock} = createFakeVm();
		let expected = clock.read();
		let before = expected;
		let suspensions = 0;
		for (const {type, ms} of steps) {
			if (type === 'set') {
				setClock(ms);
			} else {
				expected += ms;
				suspensions += type === 'suspend' ? 1 : 0;
				(type === 'run' ? run : suspend)(ms);
			}

			const elapsed = clock.read();
			assert.ok(elapsed >= before, `${elapsed} after ${before}`);
			assert.ok(Math.abs(elapsed - expected) <= suspensions * errorPerSuspensionMs, `${elapsed}, not ${expected}`);
			before = elapsed;
		}
	}));
});

// Guards against requests that end before their time: a process that is held up between the reads of two clocks, as by a processor quota, took that time for a suspension of the VM.
for (const heldRead of [1, 2, 3, 4, 5, 6, 7, 8]) {
	test(`a process that is held up for 400 ms at read ${heldRead} of its clocks was not suspended, and a suspension is detected as before`, () => {
		let awake = 1000;
		let suspended = 0;
		let reads = 0;
		const resumes: number[] = [];
		const readClock = (): number => {
			reads++;
			awake += reads === heldRead ? 400 : 0;
			return awake;
		};

		const clock = createElapsedClock({
			readAwakeMs: readClock, readNow: () => 1_764_723_600_000 + readClock() + suspended, readUptimeMs: () => 500_000 + readClock() + suspended,
		});
		clock.watchResume(suspendedMs => {
			resumes.push(suspendedMs);
		});
		clock.read();
		clock.updateOffsets();
		clock.read();
		assert.deepEqual(resumes, []);
		assert.equal(clock.read(), 1400);
		suspended = 300;
		awake += 100;
		assert.equal(clock.read(), 1800);
		assert.deepEqual(resumes, [300]);
	});
}
