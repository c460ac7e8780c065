/**
 * `npm run bench -- calls`: measures the latency that the mesh adds to a call,
 * and goodput and errors under load and faults, in comparison with two baselines
 * without the mesh.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {formatMarkdown, getPercentile} from '../statistics.js';
import {measureInProcessCalls} from './in-process-calls.js';
import {startCallFleet, type CallFleet} from './call-fleet.js';
import {
	countOutcomes, createSender, listCorrectLatencies, runLoad, type CallOutcome, type LoadResult, type SendCall,
} from './load.js';

export type CallsOptions = {
	readonly seconds: number;
	/** Measures only the conditions whose names contain this text. An empty text selects all, and the added latency too. */
	readonly only: string;
};

type Design = 'mesh' | 'random, no gate' | 'round robin, naive retries';

const nodeCount = 3;
const slotsPerServer = 12;
/** Processing time of a request. It limits the capacity of the servers, so that one load process can send three times as many calls. */
const workMs = 120;
/** Calls a second that fill the slots of all servers. */
const capacityPerSecond = nodeCount * slotsPerServer * 1000 / workMs;
const naiveAttemptCount = 3;
const designs: readonly Design[] = ['mesh', 'random, no gate', 'round robin, naive retries'];

/** Creates the sender of a design. Calls enter the mesh at any node; the baselines send directly to the servers. */
function createDesignSender(design: Design, fleet: CallFleet, agent: Agent): SendCall {
	const sendOnce = createSender(agent);
	let nextIndex = 0;
	const pickNext = (list: ReadonlyArray<{readonly address: string}>): string => {
		nextIndex++;
		return list[nextIndex % list.length]?.address ?? '';
	};

	switch (design) {
		case 'mesh': {
			return async path => sendOnce(pickNext(fleet.nodes), path);
		}

		case 'random, no gate': {
			return async path => sendOnce(fleet.servers[Math.floor(Math.random() * nodeCount)]?.address ?? '', path);
		}

		case 'round robin, naive retries': {
			return async path => {
				const startedAt = performance.now();
				let outcome: CallOutcome = {kind: 'late', latencyMs: 0};
				for (let attempts = 0; attempts < naiveAttemptCount && outcome.kind !== 'correct'; attempts++) {
					outcome = await sendOnce(pickNext(fleet.servers), path);
				}

				return {...outcome, latencyMs: performance.now() - startedAt};
			};
		}
	}
}

async function countServerRequests(fleet: CallFleet): Promise<number> {
	const reports = await Promise.all(fleet.servers.map(async server => server.fetchReport()));
	let total = 0;
	for (const {ledger} of reports) {
		total += ledger?.requests ?? 0;
	}

	return total;
}

type Row = {
	readonly design: Design;
	readonly name: string;
	readonly result: LoadResult;
	/** Number of requests that the servers receive for each call. */
	readonly amplification: number;
};

function formatRow({design, name, result, amplification}: Row): readonly string[] {
	const latenciesMs = listCorrectLatencies(result);
	return [
		design,
		name,
		(countOutcomes(result, 'correct') / result.seconds).toFixed(0),
		getPercentile(latenciesMs, 0.5).toFixed(1),
		getPercentile(latenciesMs, 0.99).toFixed(1),
		String(countOutcomes(result, 'not-run')),
		String(countOutcomes(result, 'late') + countOutcomes(result, 'may-have-run')),
		String(countOutcomes(result, 'wrong')),
		amplification.toFixed(2),
	];
}

type Condition = {
	readonly name: string;
	readonly capacityShare: number;
	readonly before?: (fleet: CallFleet) => void;
	readonly during?: (fleet: CallFleet) => Promise<void>;
};

const conditions: readonly Condition[] = [
	{name: '0.5 of capacity', capacityShare: 0.5},
	{name: '0.9 of capacity', capacityShare: 0.9},
	{name: '1.5 of capacity', capacityShare: 1.5},
	{name: '3 times capacity', capacityShare: 3},
	{
		name: 'one server 10 times slower, 0.5',
		capacityShare: 0.5,
		before(fleet) {
			fleet.servers[0]?.send({type: 'behave', behaviour: {workMs: workMs * 10}});
		},
	},
	{
		name: 'one sheds all but claims health, 0.5',
		capacityShare: 0.5,
		before(fleet) {
			fleet.servers[0]?.send({type: 'behave', behaviour: {isShedding: true, claimedHealth: 'ok', claimedLoad: 0}});
		},
	},
	{
		name: 'one server dies, 0.5',
		capacityShare: 0.5,
		async during(fleet) {
			await sleep(1000);
			fleet.servers[0]?.send({type: 'kill'});
		},
	},
];

async function measureCondition(design: Design, fleet: CallFleet, condition: Condition, seconds: number): Promise<Row> {
	const agent = new Agent({connections: 400, pipelining: 1});
	const send = createDesignSender(design, fleet, agent);
	condition.before?.(fleet);
	await sleep(1000);
	const before = await countServerRequests(fleet);
	const [result] = await Promise.all([runLoad(send, capacityPerSecond * condition.capacityShare, seconds), condition.during?.(fleet)]);
	const after = await countServerRequests(fleet);
	await agent.destroy();
	return {
		design, name: condition.name, result, amplification: (after - before) / result.outcomes.length,
	};
}

async function measureDesign(design: Design, {seconds, only}: CallsOptions): Promise<readonly Row[]> {
	const rows: Row[] = [];
	for (const condition of conditions.filter(({name}) => name.includes(only))) {
		// Each condition gets a new fleet: without gates, servers carry the backlog of one condition into the next.
		const fleet = await startCallFleet({nodeCount, slotsPerServer, workMs});
		const row = await measureCondition(design, fleet, condition, seconds);
		process.stdout.write(`${formatRow(row).join('  ')}\n`);
		rows.push(row);
		await fleet.dispose();
	}

	return rows;
}

function formatAddedLatency(directMs: number, meshMs: number): readonly string[] {
	return [directMs, meshMs, meshMs - directMs].map(milliseconds => milliseconds.toFixed(2));
}

/** Measures the latency that the mesh adds, at the call rate of a node in a production fleet. */
async function measureAddedLatency(seconds: number): Promise<void> {
	const callsPerSecondAndNode = 100;
	const fleet = await startCallFleet({nodeCount, slotsPerServer, workMs: 0});
	const agent = new Agent({connections: 100, pipelining: 1});
	const sendOnce = createSender(agent);
	const pickAddress = (list: ReadonlyArray<{readonly address: string}>): string => list[Math.floor(Math.random() * list.length)]?.address ?? '';
	await runLoad(async path => sendOnce(pickAddress(fleet.nodes), path), callsPerSecondAndNode * nodeCount, 2);
	const rows: Array<readonly string[]> = [];
	for (let round = 1; round <= 3; round++) {
		const directMs = listCorrectLatencies(await runLoad(async path => sendOnce(pickAddress(fleet.servers), path), callsPerSecondAndNode * nodeCount, seconds));
		const meshMs = listCorrectLatencies(await runLoad(async path => sendOnce(pickAddress(fleet.nodes), path), callsPerSecondAndNode * nodeCount, seconds));
		rows.push([String(round), ...[0.5, 0.99].flatMap(share => formatAddedLatency(getPercentile(directMs, share), getPercentile(meshMs, share)))]);
	}

	const reports = await Promise.all(fleet.nodes.map(async node => node.fetchReport()));
	process.stdout.write(`\n${formatMarkdown(['round', 'direct p50 ms', 'mesh p50', 'added', 'direct p99 ms', 'mesh p99', 'added'], rows)}\n`);
	process.stdout.write(`The nodes' own histograms of added time: p50 ${reports.map(({addedMicroseconds}) => addedMicroseconds?.p50).join(', ')} µs, p99 ${reports.map(({addedMicroseconds}) => addedMicroseconds?.p99).join(', ')} µs\n\n`);
	await agent.destroy();
	await fleet.dispose();
}

async function printAddedLatency(seconds: number): Promise<void> {
	const paths = await measureInProcessCalls();
	process.stdout.write(`\n${formatMarkdown(['one process, one call after another', 'p50 ms', 'p99 ms'], paths.map(({path, p50Ms, p99Ms}) => [path, p50Ms.toFixed(2), p99Ms.toFixed(2)]))}\n`);
	await measureAddedLatency(seconds);
}

/** Runs the bench and prints its tables. */
export async function runCalls(options: CallsOptions): Promise<void> {
	if (options.only === '') {
		await printAddedLatency(options.seconds);
	}

	const rows: Row[] = [];
	for (const design of designs) {
		rows.push(...await measureDesign(design, options));
	}

	const header = ['design', 'condition', 'whole answers/s', 'p50 ms', 'p99 ms', 'told not run', 'late or lost', 'wrong', 'requests at servers per call'];
	process.stdout.write(`\nCapacity: ${capacityPerSecond} calls/s\n\n${formatMarkdown(header, rows.map(row => formatRow(row)))}\n`);
}
