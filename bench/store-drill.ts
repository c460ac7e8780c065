/**
 * What a store that comes back from a copy costs the mesh, beside one that was
 * only away: until what it acknowledges is in force, until all entries are back,
 * and calls on the store. Whole nodes in one process.
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
export type StoreDrillOptions = {
	/** Drills, and as many plain outages. */
	readonly seeds: number;
	readonly nodes: number;
};

/** What one return of the store showed. */
type Return = {
	/** Milliseconds from the acknowledgement of a change until all nodes had it in force; `undefined` if one had it not in time. */
	readonly inForceMs: number | undefined;
	/** Milliseconds from the return until all entries were there. */
	readonly entriesMs: number | undefined;
	/** Calls on the store in the three seconds from the return on. */
	readonly calls: number;
};

/** Given up after this. Milliseconds. */
const limitMs = 6000;

/** Calls are counted for this long after a return. Milliseconds. */
const countMs = 3000;

/** Lets the mesh settle between two returns. Milliseconds. */
const restMs = 1500;

const routes = [{prefix: '/logs/', service: 'logview'}] as const;

const countEntries = ({store}: TestMesh): number => store.keys.listItems('stonemoor/nodes/', '').length;

const countCalls = ({store}: TestMesh): number => sum([...store.getCounts().values()]);

/** Writes a version whose one route of its own tells whether it is in force. */
function writeVersion({store}: TestMesh, version: number): void {
	store.putConfig(createTestConfig(version, [...routes, {prefix: `/v${version}/`, service: 'logview'}]));
}

async function isInForce({nodes}: TestMesh, version: number): Promise<boolean> {
	const answers = await Promise.all(nodes.map(async node => node.call(`/v${version}/1`)));
	return answers.every(({status}) => status === 200);
}

async function measure(startedAt: number, condition: () => boolean | Promise<boolean>): Promise<number | undefined> {
	return await waitUntil(condition, limitMs, 20) ? performance.now() - startedAt : undefined;
}

/** Writes of others, so that revisions are given out again, and pass what they were. */
function writeOthers({store}: TestMesh, count: number): void {
	for (let number = 0; number < count; number++) {
		store.keys.commit({expect: [], writes: [{key: 'op/note', value: Buffer.from(String(number)).toString('base64')}], remove: []});
	}
}

/** A copy from before some of the nodes had registered. */
function dropEntries(copy: KeySpaceBackup, random: () => number): KeySpaceBackup {
	return {...copy, items: new Map([...copy.items].filter(([key]) => !key.startsWith('stonemoor/nodes/') || random() < 0.5))};
}

async function measureReturn(mesh: TestMesh, firstVersion: number, isDrill: boolean, random: () => number): Promise<Return> {
	const {store} = mesh;
	const pickBetween = (least: number, most: number): number => randomUniform.source(random)(least, most)();
	const copy = dropEntries(store.keys.createBackup(), random);
	writeOthers(mesh, Math.floor(pickBetween(0, 40)));
	writeVersion(mesh, firstVersion);
	await sleep(pickBetween(0, 3000));
	store.setFault(pickBetween(0, 1) < 0.5 ? 'silent' : 'reset');
	await sleep(pickBetween(50, 900));
	if (isDrill) {
		store.restore(copy);
	}

	store.setFault('none');
	const returnedAt = performance.now();
	const callsBefore = countCalls(mesh);
	const entries = measure(returnedAt, () => countEntries(mesh) === mesh.nodes.length);
	// What the operator had written is written again, and then what is new.
	await sleep(pickBetween(0, 300));
	if (isDrill) {
		writeVersion(mesh, firstVersion);
	}

	await sleep(pickBetween(0, 600));
	writeVersion(mesh, firstVersion + 1);
	const writtenAt = performance.now();
	writeOthers(mesh, Math.floor(pickBetween(0, 80)));
	const inForceMs = await measure(writtenAt, async () => isInForce(mesh, firstVersion + 1));
	const entriesMs = await entries;
	await sleep(Math.max(0, returnedAt + countMs - performance.now()));
	return {inForceMs, entriesMs, calls: countCalls(mesh) - callsBefore};
}

const hasGoneBack = ({nodes}: TestMesh): boolean => nodes.some(({events}) => {
	const versions = events.flatMap(event => event.kind === 'configuration-applied' ? [event.version] : []);
	return versions.some((version, place) => version < (versions[place - 1] ?? 0));
});

function formatFigures(values: ReadonlyArray<number | undefined>): string {
	const known = values.filter(value => value !== undefined);
	return known.length === 0 ? '– | –' : `${median(known).toFixed(0)} | ${Math.max(...known).toFixed(0)}`;
}

/** Measures and prints the table. */
export async function runStoreDrill({seeds, nodes}: StoreDrillOptions): Promise<void> {
	process.stdout.write(`${nodes} nodes, ${seeds} returns of each kind, seeds 1 to ${seeds}\n\n`);
	process.stdout.write('| the store | nodes went back | a change not in force within 2 s | in force, median ms | worst | entries not back within 2 s | back, median ms | worst | calls in 3 s, median | worst |\n');
	process.stdout.write('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n');
	for (const isDrill of [false, true]) {
		const mesh = await startTestMesh(Array.from({length: nodes}, () => 'logview'), createTestConfig(7, routes));
		const returns: Return[] = [];
		for (let seed = 1; seed <= seeds; seed++) {
			returns.push(await measureReturn(mesh, 10 * seed, isDrill, randomLcg(seed)));
			await sleep(restMs);
		}

		const isLate = (value: number | undefined): boolean => value === undefined || value > 2000;
		const inForce = returns.map(({inForceMs}) => inForceMs);
		const entries = returns.map(({entriesMs}) => entriesMs);
		process.stdout.write(`| ${isDrill ? 'from a copy' : 'only away'} | ${hasGoneBack(mesh) ? 'yes' : 'no'} | ${inForce.filter(value => isLate(value)).length} | ${formatFigures(inForce)} | ${entries.filter(value => isLate(value)).length} | ${formatFigures(entries)} | ${formatFigures(returns.map(({calls}) => calls))} |\n`);
		const lateSeeds = returns.flatMap(({inForceMs, entriesMs}, place) => isLate(inForceMs) || isLate(entriesMs) ? [place + 1] : []);
		if (lateSeeds.length > 0) {
			process.stdout.write(`\nLate: seeds ${lateSeeds.join(', ')}\n\n`);
		}

		await mesh.dispose();
	}
}
