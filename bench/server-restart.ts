/**
 * `npm run bench -- server-return`: measures how long a backend server that
 * restarts under the same id waits for its first request. Complete nodes run in
 * one process, so that network latency is excluded.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {median} from 'simple-statistics';
import {createTestConfig, startTestMesh, type TestNode} from '../platform/test-mesh.js';

/** @internal */
export type ServerRestartOptions = {
	/** Number of restarts of each kind. */
	readonly rounds: number;
	/** Milliseconds after which a restart counts as failed. */
	readonly limitMs: number;
	/** Measures only the kinds whose names contain this text. */
	readonly only: string;
};

/** How a server stops and restarts. */
type RestartKind = {
	readonly name: string;
	/** Sends the last message of the server, if any, before it stops. */
	readonly sendBeforeStop: (gateNode: TestNode) => Promise<unknown>;
	readonly hasNewAddress: boolean;
	/** Milliseconds by which the server's clock is set forward between stop and restart; negative if it is set back. */
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
		name: 'leave', sendBeforeStop: async gateNode => gateNode.leave(JSON.stringify({born: gateNode.getServerStartedAt()})), hasNewAddress: false, clockStepMs: 0,
	},
	{
		name: 'leave without a start', sendBeforeStop: async gateNode => gateNode.leave(), hasNewAddress: false, clockStepMs: 0,
	},
	{
		name: 'drain, clock 2 s back', sendBeforeStop: async gateNode => gateNode.announce({state: 'draining'}), hasNewAddress: false, clockStepMs: -2000,
	},
];

/** Interval of the announcements, as in production. */
const announcementIntervalMs = 1000;

/** Interval of the requests that test whether the server gets work. */
const requestIntervalMs = 10;

const announcementsBeforeStop = 3;

/** Short, so that nodes do not notice the downtime more than they would in production. */
const downtimeMs = 200;

/** Longer than the time after a restart for which a node refuses a leave without a start time as ambiguous. */
const leaveWithoutStartDelayMs = 5500;

/** Announces the running server until it has run a request. Returns the milliseconds until then, or `undefined` after `limitMs`. */
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
	// Restarts the server with a correct clock first: if the previous lifetime were longer than the step back of the clock, the
	// new start time would be the later one despite the step.
	await gateNode.restartServer();
	await measureTimeToFirstRequest(caller, gateNode, limitMs);
	for (let announcement = 0; announcement < announcementsBeforeStop; announcement++) {
		await gateNode.announce();
	}

	await kind.sendBeforeStop(gateNode);
	await sleep(downtimeMs);
	await gateNode.restartServer({hasNewAddress: kind.hasNewAddress, clockStepMs: kind.clockStepMs});
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
