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
export type ServerRestartOptions = {
	/** Returns of each kind. */
	readonly rounds: number;
	/** Milliseconds after which a return is given up. */
	readonly limitMs: number;
	/** Only kinds whose names contain this. */
	readonly only: string;
};

/** How a server ends, and how it comes back. */
type RestartKind = {
	readonly name: string;
	/** What it says before its end. */
	readonly sendBeforeStop: (gateNode: TestNode) => Promise<unknown>;
	readonly hasNewAddress: boolean;
	/** Milliseconds by which its clock has moved meanwhile. */
	readonly clockStepMs: number;
};

const sendNothing = async (): Promise<void> => undefined;

const kinds: readonly RestartKind[] = [
	{
		name: 'crash, same address', sendBeforeStop: sendNothing, hasNewAddress: false, clockStepMs: 0,
	},
	{
		name: 'crash, another address', sendBeforeStop: sendNothing, hasNewAddress: true, clockStepMs: 0,
	},
	{
		name: 'drain', sendBeforeStop: async gateNode => gateNode.announce({state: 'draining'}), hasNewAddress: false, clockStepMs: 0,
	},
	{
		name: 'leave', sendBeforeStop: async gateNode => gateNode.leave(JSON.stringify({born: gateNode.getBorn()})), hasNewAddress: false, clockStepMs: 0,
	},
	{
		name: 'leave without a start', sendBeforeStop: async gateNode => gateNode.leave(), hasNewAddress: false, clockStepMs: 0,
	},
	{
		name: 'drain, clock 2 s back', sendBeforeStop: async gateNode => gateNode.announce({state: 'draining'}), hasNewAddress: false, clockStepMs: -2000,
	},
];

/** Milliseconds between two announcements, as the users' servers have it. */
const announcementIntervalMs = 1000;

/** Milliseconds between two requests that try whether the server takes work. */
const requestIntervalMs = 10;

/** Words of a lifetime before it ends. */
const announcementsBeforeStop = 3;

/** Milliseconds for which a server is down, so that nodes notice as little as they would. */
const downtimeMs = 200;

/** Longer than a word without a start is taken for an earlier start's. Milliseconds. */
const leaveWithoutStartDelayMs = 5500;

/** Announces the server that runs now until it has had work; yields milliseconds, or `undefined` if it had none in time. */
async function measureTimeToFirstRequest(caller: TestNode, gateNode: TestNode, limitMs: number): Promise<number | undefined> {
	const {server} = gateNode;
	const startedAt = performance.now();
	let announcedAt = Number.NEGATIVE_INFINITY;
	while (performance.now() - startedAt < limitMs) {
		if (performance.now() - announcedAt >= announcementIntervalMs) {
			announcedAt = performance.now();
			await gateNode.announce();
		}

		await caller.call('/publish/1', {method: 'POST', body: 'a', timeLeftMs: 300});
		if (server.runs.length > 0) {
			return performance.now() - startedAt;
		}

		await sleep(requestIntervalMs);
	}

	return undefined;
}

async function measureRestart(caller: TestNode, gateNode: TestNode, kind: RestartKind, limitMs: number): Promise<number | undefined> {
	// A start whose clock is right precedes: one that lived for longer than its clock goes back would be the earlier one anyway.
	await gateNode.restartServer();
	await measureTimeToFirstRequest(caller, gateNode, limitMs);
	for (let announcement = 0; announcement < announcementsBeforeStop; announcement++) {
		await gateNode.announce();
	}

	await kind.sendBeforeStop(gateNode);
	await sleep(downtimeMs);
	await gateNode.restartServer({isMoved: kind.hasNewAddress, clockStepMs: kind.clockStepMs});
	return measureTimeToFirstRequest(caller, gateNode, limitMs);
}

async function measureKind(kind: RestartKind, {rounds, limitMs}: ServerRestartOptions): Promise<ReadonlyArray<number | undefined>> {
	const mesh = await startTestMesh(['logview', 'hall'], createTestConfig(7, [{prefix: '/publish/', service: 'hall', type: 'unsafe'}]));
	const [caller, gateNode] = mesh.nodes as [TestNode, TestNode];
	const waits: Array<number | undefined> = [];
	for (let round = 0; round < rounds; round++) {
		if (kind.name.includes('without')) {
			await sleep(leaveWithoutStartDelayMs);
		}

		waits.push(await measureRestart(caller, gateNode, kind, limitMs));
	}

	await mesh.dispose();
	return waits;
}

/** Measures and prints the table. */
export async function runServerRestart(options: ServerRestartOptions): Promise<void> {
	process.stdout.write(`| how it ended | returns | took no work within ${options.limitMs} ms | median ms | worst ms |\n| --- | --- | --- | --- | --- |\n`);
	for (const kind of kinds.filter(({name}) => name.includes(options.only))) {
		const waits = await measureKind(kind, options);
		const served = waits.filter(wait => wait !== undefined);
		const figures = served.length === 0 ? '– | –' : `${median(served).toFixed(0)} | ${Math.max(...served).toFixed(0)}`;
		process.stdout.write(`| ${kind.name} | ${waits.length} | ${waits.length - served.length} | ${figures} |\n`);
	}
}
