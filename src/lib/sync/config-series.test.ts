/** Tests how late a node is after a series of versions that its link carries more slowly than they come. */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {createConfigHolder} from '../route-config/config-holder.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {silentLog} from '../timeline/mesh-log.js';
import {maxFollowDelayMs} from './answer-pace.js';
import {createConfigFollower, type ConfigFollower} from './config-follower.js';
import {createStoreHealth} from './store-health.js';

const createConfig = (version: number): RouteConfig => ({
	version, routes: [], services: [], workspaces: [], unreadHosts: new Set(), warnings: [],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

type Simulation = {
	readonly put: (isValid?: boolean) => void;
	readonly advance: (milliseconds: number) => Promise<void>;
	readonly getVersion: () => number;
	readonly getNow: () => number;
	/** Returns the longest time from the write of a version until it, or a later one, was in force; infinity if the last one is not. In milliseconds. */
	readonly getMaxLateMs: () => number;
	readonly countCalls: () => number;
	/** Returns the milliseconds for which the link was in use. */
	readonly getLinkMs: () => number;
	readonly follower: ConfigFollower;
	/** Adds a version that another node reports. */
	readonly hear: (version: number) => void;
};

/** Waits until the continuations of settled promises have run. */
const flushPromises = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const stepMs = 10;

/** All versions have the same size. */
const textBytes = 4;

const createText = (version: number): string => String(version).padStart(textBytes, '0');

/** The text of a version that no node can apply. */
const invalidText = 'invalid';

/** Starts a follower with a store whose answers take a time for each configuration that they hold, on a clock that the test advances. */
async function startSimulation(context: Pick<TestContext, 'mock'>, transferMs: number, random: () => number, {statesLength = false} = {}): Promise<Simulation> {
	context.mock.timers.enable({apis: ['setTimeout']});
	let now = 0;
	context.mock.method(performance, 'now', () => now);
	let revision = 5;
	let calls = 0;
	let linkMs = 0;
	let heardVersion = 0;
	const watches = new Set<() => void>();
	const runFor = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
	const invalid = new Set<number>();
	const getItem = (at: number): StoreItem => ({key: 'k', value: invalid.has(at) ? invalidText : createText(at), revision: at});
	const sendPart = async (elapsedMs: () => number, handlePart: (elapsed: number) => boolean): Promise<boolean> => {
		for (let doneMs = 0; doneMs < transferMs; doneMs += stepMs) {
			if (!handlePart(elapsedMs())) {
				return false;
			}

			linkMs += stepMs;
			await runFor(stepMs);
		}

		return true;
	};

	const store: Partial<MeshStore> = {
		async readItem() {
			calls++;
			const at = revision;
			await sendPart(() => 0, () => true);
			return ok({items: [getItem(at)], position: {era: 1, revision: at}});
		},
		async watchItems(_prefix, after, waitMs, signal, handlePart = () => true) {
			calls++;
			if (revision <= after.revision) {
				await new Promise<void>(resolve => {
					setTimeout(resolve, waitMs);
					signal.addEventListener('abort', () => {
						resolve();
					});
					watches.add(resolve);
				});
			}

			if (signal.aborted) {
				return err({type: 'unavailable', reason: 'aborted'});
			}

			const at = revision;
			const startedAt = now;
			const getElapsedMs = (): number => now - startedAt;
			const maxValueBytes = statesLength ? (at - after.revision) * textBytes : undefined;
			for (let changes = 1; changes <= at - after.revision; changes++) {
				const isWhole = await sendPart(getElapsedMs, elapsedMs => handlePart({changes, elapsedMs, maxValueBytes}));
				if (!isWhole) {
					return ok({type: 'given-up'});
				}
			}

			const changes = Array.from({length: at - after.revision}, (_, index) => ({type: 'written', item: getItem(after.revision + index + 1)} as const));
			return ok({
				type: 'changes', changes, position: {era: 1, revision: at}, transfer: {startedAt, bytes: changes.length},
			});
		},
	};
	const putTimes = new Map<number, number>();
	let maxLateMs = 0;
	const holder = createConfigHolder(({config: {version}}) => {
		for (const [put, at] of putTimes) {
			if (put <= version) {
				maxLateMs = Math.max(maxLateMs, now - at);
				putTimes.delete(put);
			}
		}
	});
	const follower = createConfigFollower({
		store: store as MeshStore, health: createStoreHealth(silentLog, () => undefined), holder, prefix: undefined, handleOtherItems: () => undefined, otherPrefix: undefined,
		copy: {read: async () => undefined, updateSoon: () => undefined}, key: 'k', decode: text => text === invalidText ? err('invalid') : ok(createConfig(Number(text))), log: silentLog, random,
		shouldFollow: () => true, getNewestKnownVersion: () => Math.max(heardVersion, holder.getVersion()), handleRead: () => undefined,
	});
	void follower.run();
	const advance = async (milliseconds: number): Promise<void> => {
		for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += stepMs) {
			now += stepMs;
			context.mock.timers.tick(stepMs);
			await flushPromises();
		}
	};

	await flushPromises();
	await advance(transferMs + 2000);
	return {
		put(isValid = true) {
			revision++;
			if (isValid) {
				putTimes.set(revision, now);
			} else {
				invalid.add(revision);
			}

			for (const wake of watches) {
				wake();
			}

			watches.clear();
		},
		hear(version) {
			heardVersion = version;
		},
		advance, getVersion: holder.getVersion, getNow: () => now, getMaxLateMs: () => putTimes.size > 0 ? Number.POSITIVE_INFINITY : maxLateMs, countCalls: () => calls, getLinkMs: () => linkMs, follower,
	};
}

/** Fixed, so that each run checks the same cases. */
const seed = 20_261;

/** Each transfer and delay ends up to a step late. */
const roundingMs = 8 * stepMs;

type SeriesCase = {
	readonly statesLength: boolean;
	/** Longest transfer that is tried, in steps. */
	readonly maxTransferSteps: number;
	/** Returns the time within which a version must be in force, rounding aside. */
	readonly computeMaxMs: (transferMs: number) => number;
};

/** Checks that each version of any series, or a later one, is in force within a time. */
async function checkSeries(context: TestContext, {statesLength, maxTransferSteps, computeMaxMs}: SeriesCase): Promise<void> {
	const gaps = fc.array(fc.integer({min: 1, max: 120}), {minLength: 1, maxLength: 30});
	await fc.assert(fc.asyncProperty(gaps, fc.integer({min: 2, max: maxTransferSteps}), fc.infiniteStream(fc.double({min: 0, max: 0.999, noNaN: true})), async (gapSteps, transferSteps, numbers) => {
		const transferMs = transferSteps * stepMs;
		const simulation = await startSimulation(context, transferMs, () => numbers.next().value as number, {statesLength});
		try {
			for (const steps of gapSteps) {
				simulation.put();
				await simulation.advance(steps * stepMs);
			}

			const maxMs = computeMaxMs(transferMs) + roundingMs;
			await simulation.advance(maxMs);
			const lateMs = simulation.getMaxLateMs();
			assert.ok(lateMs <= maxMs, `${lateMs} ms, with a transfer of ${transferMs} ms after gaps of ${gapSteps.join(', ')} steps`);
		} finally {
			simulation.follower.dispose();
			context.mock.timers.reset();
			context.mock.restoreAll();
		}
	}), {seed, numRuns: 60});
}

// Guards against a watch that brings every version of a series one after the other, so that the last one arrives later the more there are.
test('property: each version of any series, or a later one, is in force after two transfers and one delay', async context => {
	await checkSeries(context, {statesLength: false, maxTransferSteps: 100, computeMaxMs: transferMs => Math.max(maxFollowDelayMs, transferMs) + (2 * transferMs)});
});

// Guards against a third transfer on links so slow that the second version of an answer begins long after the first one.
test('property: two transfers and one delay are enough on very slow links too, if the store states the length of its answers', async context => {
	await checkSeries(context, {statesLength: true, maxTransferSteps: 400, computeMaxMs: transferMs => maxFollowDelayMs + (2 * transferMs)});
});

// Guards against a series that costs the store more than before, and against one change that costs more than one call and one transfer.
test('a change alone costs one call and one transfer, and a series no more transfers than versions', async context => {
	const transferMs = 400;
	const simulation = await startSimulation(context, transferMs, () => 0.5);
	context.after(simulation.follower.dispose);
	const before = {calls: simulation.countCalls(), linkMs: simulation.getLinkMs()};
	simulation.put();
	await simulation.advance(transferMs + (2 * stepMs));
	assert.equal(simulation.getVersion(), 6);
	await simulation.advance(1000);
	// The second call is the next watch.
	assert.deepEqual([simulation.countCalls() - before.calls, simulation.getLinkMs() - before.linkMs], [1, transferMs]);
	const versions = 13;
	const start = {calls: simulation.countCalls(), linkMs: simulation.getLinkMs()};
	for (let count = 0; count < versions; count++) {
		simulation.put();
		await simulation.advance(330);
	}

	await simulation.advance(3000);
	assert.equal(simulation.getVersion(), 6 + versions);
	context.diagnostic(`${simulation.countCalls() - start.calls} calls, ${(simulation.getLinkMs() - start.linkMs) / transferMs} transfers for ${versions} versions`);
	assert.ok(simulation.getLinkMs() - start.linkMs < versions * transferMs);
});

// Guards against a node that others take for one with the newest configuration while its link still delays it.
test('a node says that it is behind from the first bytes of a newer configuration until it has it', async context => {
	const simulation = await startSimulation(context, 400, () => 0);
	const {follower} = simulation;
	context.after(follower.dispose);
	assert.equal(follower.isBehind(), false);
	simulation.put();
	await simulation.advance(200);
	assert.equal(follower.isBehind(), true);
	assert.ok(follower.getReceivingMs(simulation.getNow()) >= 180);
	await simulation.advance(250);
	assert.equal(simulation.getVersion(), 6);
	assert.equal(follower.isBehind(), false);
	assert.equal(follower.getReceivingMs(simulation.getNow()), 0);
});

// Guards against a node that reads the store again and again because others report a version that the store does not have.
test('a version that the store does not have costs one read', async context => {
	const simulation = await startSimulation(context, 50, () => 0);
	context.after(simulation.follower.dispose);
	simulation.hear(90);
	simulation.put();
	await simulation.advance(600);
	const calls = simulation.countCalls();
	await simulation.advance(1500);
	// The watch that was opened after that one read, and the one after it.
	assert.ok(simulation.countCalls() - calls <= 2, `${simulation.countCalls() - calls} calls`);
	assert.equal(simulation.getVersion(), 6);
});

for (const [how, transferMs] of [['received', 20], ['given up', 300]] as const) {
	// Guards against a valid version that is passed over because a later one is invalid.
	test(`of several versions in an answer that is ${how}, the last valid one is applied`, async context => {
		const simulation = await startSimulation(context, transferMs, () => 0);
		context.after(simulation.follower.dispose);
		simulation.put();
		await simulation.advance(transferMs + 50);
		simulation.put();
		simulation.put(false);
		await simulation.advance(3000);
		assert.equal(simulation.getVersion(), 7);
	});
}
