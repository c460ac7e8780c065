/**
 * How long a backend server that starts again under its id waits for work, on
 * whole nodes in one process: what is measured is the nodes and not a network.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {median} from 'simple-statistics';
import {createTestConfig, startTestMesh, type TestNode} from '../platform/test-mesh.js';

/** @internal */
export type ServerReturnOptions = {
	/** Returns of each kind. */
	readonly rounds: number;
	/** Milliseconds after which a return is given up. */
	readonly limitMs: number;
	/** Only kinds whose names contain this. */
	readonly only: string;
};

/** How a server ends, and how it comes back. */
type ReturnKind = {
	readonly name: string;
	/** What it says before its end. */
	readonly end: (beside: TestNode) => Promise<unknown>;
	readonly isMoved: boolean;
	/** Milliseconds by which its clock has moved meanwhile. */
	readonly clockStepMs: number;
};

const endSilently = async (): Promise<void> => undefined;

const kinds: readonly ReturnKind[] = [
	{
		name: 'crash, same address', end: endSilently, isMoved: false, clockStepMs: 0,
	},
	{
		name: 'crash, another address', end: endSilently, isMoved: true, clockStepMs: 0,
	},
	{
		name: 'drain', end: async beside => beside.announce({state: 'draining'}), isMoved: false, clockStepMs: 0,
	},
	{
		name: 'leave', end: async beside => beside.leave(JSON.stringify({born: beside.getServerStartedAt()})), isMoved: false, clockStepMs: 0,
	},
	{
		name: 'leave without a start', end: async beside => beside.leave(), isMoved: false, clockStepMs: 0,
	},
	{
		name: 'drain, clock 2 s back', end: async beside => beside.announce({state: 'draining'}), isMoved: false, clockStepMs: -2000,
	},
];

/** Milliseconds between two announcements, as the users' servers have it. */
const announceMs = 1000;

/** Milliseconds between two requests that try whether the server takes work. */
const tryMs = 10;

/** Words of a lifetime before it ends. */
const wordsBefore = 3;

/** Milliseconds for which a server is down, so that nodes notice as little as they would. */
const downMs = 200;

/** Longer than a word without a start is taken for an earlier start's. Milliseconds. */
const settledMs = 5500;

/** Announces the server that runs now until it has had work; yields milliseconds, or `undefined` if it had none in time. */
async function measureWait(caller: TestNode, beside: TestNode, limitMs: number): Promise<number | undefined> {
	const {server} = beside;
	const startedAt = performance.now();
	let announcedAt = Number.NEGATIVE_INFINITY;
	while (performance.now() - startedAt < limitMs) {
		if (performance.now() - announcedAt >= announceMs) {
			announcedAt = performance.now();
			await beside.announce();
		}

		await caller.call('/publish/1', {method: 'POST', body: 'a', timeLeftMs: 300});
		if (server.runs.length > 0) {
			return performance.now() - startedAt;
		}

		await sleep(tryMs);
	}

	return undefined;
}

async function measureReturn(caller: TestNode, beside: TestNode, kind: ReturnKind, limitMs: number): Promise<number | undefined> {
	// A start whose clock is right precedes: one that lived for longer than its clock goes back would be the earlier one anyway.
	await beside.restartServer();
	await measureWait(caller, beside, limitMs);
	for (let word = 0; word < wordsBefore; word++) {
		await beside.announce();
	}

	await kind.end(beside);
	await sleep(downMs);
	await beside.restartServer({hasNewAddress: kind.isMoved, clockStepMs: kind.clockStepMs});
	return measureWait(caller, beside, limitMs);
}

async function measureKind(kind: ReturnKind, {rounds, limitMs}: ServerReturnOptions): Promise<ReadonlyArray<number | undefined>> {
	const mesh = await startTestMesh(['logview', 'hall'], createTestConfig(7, [{prefix: '/publish/', service: 'hall', type: 'unsafe'}]));
	const [caller, beside] = mesh.nodes as [TestNode, TestNode];
	const waits: Array<number | undefined> = [];
	for (let round = 0; round < rounds; round++) {
		if (kind.name.includes('without')) {
			await sleep(settledMs);
		}

		waits.push(await measureReturn(caller, beside, kind, limitMs));
	}

	await mesh.dispose();
	return waits;
}

/** Measures and prints the table. */
export async function runServerReturn(options: ServerReturnOptions): Promise<void> {
	process.stdout.write(`| how it ended | returns | took no work within ${options.limitMs} ms | median ms | worst ms |\n| --- | --- | --- | --- | --- |\n`);
	for (const kind of kinds.filter(({name}) => name.includes(options.only))) {
		const waits = await measureKind(kind, options);
		const taken = waits.filter(wait => wait !== undefined);
		const figures = taken.length === 0 ? '– | –' : `${median(taken).toFixed(0)} | ${Math.max(...taken).toFixed(0)}`;
		process.stdout.write(`| ${kind.name} | ${waits.length} | ${waits.length - taken.length} | ${figures} |\n`);
	}
}
