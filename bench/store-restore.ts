/**
 * `npm run bench -- store-drill`: compares a store that is restored from a backup
 * with a plain outage of the store. Measures the time until an acknowledged
 * change is in force, the time until all node entries are in the store, and the
 * calls to the store. Complete nodes run in one process.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomUniform, randomLcg} from 'd3-random';
import {median, sum} from 'simple-statistics';
import {createTestConfig, startTestMesh, type TestMesh} from '../platform/test-mesh.js';
import {type KeySpaceBackup} from '../stand-ins/platform-store/key-space.js';
import {waitUntil} from '../stand-ins/wait-until.js';

/** @internal */
export type StoreRestoreOptions = {
	/** Number of restores, and of plain outages. */
	readonly seeds: number;
	readonly nodes: number;
};

/** Measurements of one outage. */
type OutageResult = {
	/** Milliseconds from the acknowledgement of a change until it was in force on all nodes; `undefined` after the timeout. */
	readonly inForceMs: number | undefined;
	/** Milliseconds from the end of the outage until the store had the entries of all nodes; `undefined` after the timeout. */
	readonly entriesPresentMs: number | undefined;
	/** Calls to the store within `callCountWindowMs` after the end of the outage. */
	readonly storeCalls: number;
};

const timeoutMs = 6000;

const callCountWindowMs = 3000;

/** Pause between two outages, in which the mesh settles. */
const settleMs = 1500;

const routes = [{prefix: '/logs/', service: 'logview'}] as const;

const countEntries = ({store}: TestMesh): number => store.keys.listItems('stonemoor/nodes/', '').length;

const countCalls = ({store}: TestMesh): number => sum([...store.getCounts().values()]);

/** Writes a configuration version with a route of its own, which shows whether the version is in force. */
function writeVersion({store}: TestMesh, version: number): void {
	store.putConfig(createTestConfig(version, [...routes, {prefix: `/v${version}/`, service: 'logview'}]));
}

async function isInForce({nodes}: TestMesh, version: number): Promise<boolean> {
	const answers = await Promise.all(nodes.map(async node => node.call(`/v${version}/1`)));
	return answers.every(({status}) => status === 200);
}

async function measureUntil(startedAt: number, condition: () => boolean | Promise<boolean>): Promise<number | undefined> {
	return await waitUntil(condition, timeoutMs, 20) ? performance.now() - startedAt : undefined;
}

/** Writes keys of other clients, so that a restored store assigns revisions a second time and exceeds the earlier ones. */
function writeUnrelatedKeys({store}: TestMesh, count: number): void {
	for (let number = 0; number < count; number++) {
		store.keys.commit({expect: [], writes: [{key: 'op/note', value: Buffer.from(String(number)).toString('base64')}], remove: []});
	}
}

/** Removes about half of the node entries, as in a backup from before these nodes registered. */
function dropRandomEntries(backup: KeySpaceBackup, random: () => number): KeySpaceBackup {
	return {...backup, items: new Map([...backup.items].filter(([key]) => !key.startsWith('stonemoor/nodes/') || random() < 0.5))};
}

async function measureOutage(mesh: TestMesh, firstVersion: number, isRestored: boolean, random: () => number): Promise<OutageResult> {
	const {store} = mesh;
	const pickBetween = (minimum: number, maximum: number): number => randomUniform.source(random)(minimum, maximum)();
	const backup = dropRandomEntries(store.keys.createBackup(), random);
	writeUnrelatedKeys(mesh, Math.floor(pickBetween(0, 40)));
	writeVersion(mesh, firstVersion);
	await sleep(pickBetween(0, 3000));
	store.setFault(pickBetween(0, 1) < 0.5 ? 'silent' : 'reset');
	await sleep(pickBetween(50, 900));
	if (isRestored) {
		store.restore(backup);
	}

	store.setFault('none');
	const reachableAt = performance.now();
	const callsBefore = countCalls(mesh);
	const entriesPresent = measureUntil(reachableAt, () => countEntries(mesh) === mesh.nodes.length);
	// After a restore, the operator writes the lost version again. Then follows a new version.
	await sleep(pickBetween(0, 300));
	if (isRestored) {
		writeVersion(mesh, firstVersion);
	}

	await sleep(pickBetween(0, 600));
	writeVersion(mesh, firstVersion + 1);
	const writtenAt = performance.now();
	writeUnrelatedKeys(mesh, Math.floor(pickBetween(0, 80)));
	const inForceMs = await measureUntil(writtenAt, async () => isInForce(mesh, firstVersion + 1));
	const entriesPresentMs = await entriesPresent;
	await sleep(Math.max(0, reachableAt + callCountWindowMs - performance.now()));
	return {inForceMs, entriesPresentMs, storeCalls: countCalls(mesh) - callsBefore};
}

const hasRevertedVersion = ({nodes}: TestMesh): boolean => nodes.some(({events}) => {
	const versions = events.flatMap(event => event.kind === 'configuration-applied' ? [event.version] : []);
	return versions.some((version, index) => version < (versions[index - 1] ?? 0));
});

function formatMedianAndMaximum(values: ReadonlyArray<number | undefined>): string {
	const known = values.filter(value => value !== undefined);
	return known.length === 0 ? '– | –' : `${median(known).toFixed(0)} | ${Math.max(...known).toFixed(0)}`;
}

/** Measures and prints the table. */
export async function runStoreRestore({seeds, nodes}: StoreRestoreOptions): Promise<void> {
	process.stdout.write(`${nodes} nodes, ${seeds} returns of each kind, seeds 1 to ${seeds}\n\n`);
	process.stdout.write('| the store | nodes went back | a change not in force within 2 s | in force, median ms | worst | entries not back within 2 s | back, median ms | worst | calls in 3 s, median | worst |\n');
	process.stdout.write('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n');
	for (const isRestored of [false, true]) {
		const mesh = await startTestMesh(Array.from({length: nodes}, () => 'logview'), createTestConfig(7, routes));
		const results: OutageResult[] = [];
		for (let seed = 1; seed <= seeds; seed++) {
			results.push(await measureOutage(mesh, 10 * seed, isRestored, randomLcg(seed)));
			await sleep(settleMs);
		}

		const isLate = (value: number | undefined): boolean => value === undefined || value > 2000;
		const inForce = results.map(({inForceMs}) => inForceMs);
		const entries = results.map(({entriesPresentMs}) => entriesPresentMs);
		process.stdout.write(`| ${isRestored ? 'from a copy' : 'only away'} | ${hasRevertedVersion(mesh) ? 'yes' : 'no'} | ${inForce.filter(value => isLate(value)).length} | ${formatMedianAndMaximum(inForce)} | ${entries.filter(value => isLate(value)).length} | ${formatMedianAndMaximum(entries)} | ${formatMedianAndMaximum(results.map(({storeCalls}) => storeCalls))} |\n`);
		const lateSeeds = results.flatMap(({inForceMs, entriesPresentMs}, index) => isLate(inForceMs) || isLate(entriesPresentMs) ? [index + 1] : []);
		if (lateSeeds.length > 0) {
			process.stdout.write(`\nLate: seeds ${lateSeeds.join(', ')}\n\n`);
		}

		await mesh.dispose();
	}
}
