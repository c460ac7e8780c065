/**
 * Runs the main job on real processes over loopback and counts, from what
 * callers and backend servers saw, whether every promise held.
 *
 * @module
 */
import {readFile, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {request as sendRequest} from 'undici';
import {parse, stringify} from 'yaml';
import {type NodeStatusAnswer} from '../src/index.js';
import {settle} from '../src/lib/common/settle.js';
import {type RequestCounts} from '../stand-ins/backend-server/backend-server.js';
import {type StoreCallCounts} from '../stand-ins/store/memory-store.js';
import {waitUntil} from '../stand-ins/wait-until.js';
import {
	fetchBundle, publish, startPolling, uploadBundle, type Callers, type Publication,
} from './callers.js';
import {
	fetchJson, prepareMesh, startNode, startServer, startStore, waitForServers, waitForStore, type Mesh, type MeshNode,
} from './mesh.js';
import {startProcess, type RunningProcess} from './processes.js';

const bundleBytes = 64 * 1024 * 1024;
const callerCount = 8;

/** Answers that callers get while something is looked at: enough that each node passes on a hundred. */
const answersPerCheck = 600;

/** The demo ends by itself within a minute, whatever hangs. Milliseconds. */
const demoTimeoutMs = 55_000;

const startedAt = Date.now();
const processes = new Map<string, RunningProcess>();
const brokenPromises: string[] = [];
let stopCallers: (() => Promise<void>) | undefined;

function printStep(text: string): void {
	process.stdout.write(`${((Date.now() - startedAt) / 1000).toFixed(2).padStart(7)} s  ${text}\n`);
}

function check(isKept: boolean, promise: string): void {
	if (!isKept) {
		brokenPromises.push(promise);
		printStep(`BROKEN: ${promise}`);
	}
}

/** Ends a process as a kill does, and waits until it is gone. */
async function killProcess(name: string): Promise<void> {
	const running = processes.get(name);
	running?.child.kill('SIGKILL');
	await running?.waitForExit();
}

/** Waits until callers have got so many more whole answers. */
async function waitForCalls(callers: Callers): Promise<void> {
	const {whole} = callers.getCounts();
	check(await waitUntil(() => callers.getCounts().whole >= whole + answersPerCheck, 10_000), `callers get ${answersPerCheck} answers`);
}

function registerProcess(running: RunningProcess): RunningProcess {
	processes.set(running.name, running);
	return running;
}

async function runCli(node: MeshNode, ...parameters: readonly string[]): Promise<string> {
	const cli = startProcess('cli', 'apps/cli/main.js', [...parameters, '--node', node.operators]);
	const code = await cli.waitForExit();
	const output = cli.getOutput().trim();
	if (code !== 0) {
		throw new Error(`stonemoor ${parameters.join(' ')} ended with ${code ?? 'a signal'}: ${output}`);
	}

	return output;
}

/** Runs a command that may fail; yields what it said. */
async function tryCli(node: MeshNode, ...parameters: readonly string[]): Promise<string> {
	try {
		return await runCli(node, ...parameters);
	} catch (error) {
		return (error as Error).message;
	}
}

async function isNodeReady(node: MeshNode): Promise<boolean> {
	const status = await fetchJson<NodeStatusAnswer>(`http://${node.operators}/v1/status`);
	return status.isReady;
}

async function fetchRequestCounts(node: MeshNode): Promise<RequestCounts> {
	return fetchJson<RequestCounts>(`http://${node.serverAddress}/_ledger`);
}

async function startMesh(mesh: Mesh): Promise<void> {
	registerProcess(startStore(mesh));
	check(await waitForStore(mesh), 'the store answers');
	printStep('the stand-in of the platform\'s store is up');
	for (const node of mesh.nodes) {
		registerProcess(startNode(node));
	}

	for (const node of mesh.nodes) {
		const isUp = await waitUntil(async () => isNodeReady(node), 15_000);
		check(isUp, `${node.id} becomes ready`);
	}

	printStep('six nodes in three failure domains are ready');
	for (const node of mesh.nodes) {
		registerProcess(startServer(mesh, node));
	}

	for (const node of mesh.nodes) {
		check(await waitForServers(node, mesh.nodes.length), `${node.id} knows every backend server`);
	}

	printStep('six backend servers have announced themselves, and every node knows them all');
}

/** Adds a route that answers without a backend server, so that callers can see which version a node has in force. */
async function writeRevision(mesh: Mesh, revision: number): Promise<string> {
	const document = parse(await readFile(new URL('../../examples/build-mesh.yaml', import.meta.url), 'utf8')) as {routes: unknown[]; policies: unknown[]};
	document.routes.push({
		name: `revision-${revision}`, path: `/revision/${revision}`, pool: 'logview', policy: 'gone',
	});
	document.policies.push({name: 'gone', decision: '{"action": "refuse", "status": 410, "reason": "in force"}'});
	const file = join(mesh.directory, `revision-${revision}.yaml`);
	await writeFile(file, stringify(document));
	return file;
}

/** Submits a revision and measures, as callers see it, when each node has it in force. */
async function reviseConfiguration(mesh: Mesh, nodes: readonly MeshNode[], revision: number): Promise<number> {
	const file = await writeRevision(mesh, revision);
	const [first] = nodes;
	if (first === undefined) {
		return 0;
	}

	const submitting = runCli(first, 'submit', file, '--json');
	let firstSeen = 0;
	await Promise.all(nodes.map(async node => {
		const isSeen = await waitUntil(async () => {
			const reply = await sendRequest(`http://${node.callers}/revision/${revision}`);
			await reply.body.dump();
			if (reply.statusCode === 410 && firstSeen === 0) {
				firstSeen = Date.now();
			}

			return reply.statusCode === 410;
		}, 16_000, 2);
		check(isSeen, `${node.id} has revision ${revision} in force within 16 s`);
	}));
	const spreadMs = Date.now() - firstSeen;
	await submitting;
	return spreadMs;
}

async function collectRequestCounts(nodes: readonly MeshNode[]): Promise<readonly RequestCounts[]> {
	const found = await Promise.all(nodes.map(async node => settle(fetchRequestCounts(node))));
	return found.flatMap(counts => counts ?? []);
}

type Outcome = {
	readonly callers: Callers;
	readonly publications: readonly Publication[];
	readonly requestCounts: readonly RequestCounts[];
	readonly convergenceMs: readonly number[];
	readonly versions: readonly number[];
	readonly controlBytesPerSecond: number;
	readonly storeCalls: StoreCallCounts;
};

function countRuns(requestCounts: readonly RequestCounts[]): ReadonlyMap<string, number> {
	const runs = new Map<string, number>();
	for (const counts of requestCounts) {
		for (const [key, count] of Object.entries(counts.runs)) {
			runs.set(key, (runs.get(key) ?? 0) + count);
		}
	}

	return runs;
}

function printTable(outcome: Outcome): void {
	const counts = outcome.callers.getCounts();
	const runs = countRuns(outcome.requestCounts);
	const twice = [...runs.values()].filter(count => count > 1).length;
	const isAlwaysNotRun = (key: string): boolean => outcome.publications.every(publication => publication.key !== key || publication.verdict === 'not-run');
	const falseNotRun = outcome.publications.filter(({key}) => isAlwaysNotRun(key) && (runs.get(key) ?? 0) > 0).length;
	const falseRan = outcome.publications.filter(({key, verdict, status}) => verdict === 'ran' && status < 400 && (runs.get(key) ?? 0) !== 1).length;
	check(counts.wrong === 0, 'every answer is whole and belongs to its request');
	check(counts.lost === 0, 'no caller\'s connection was cut by a node that it could still use');
	check(twice === 0, 'a request that may not be repeated runs at most once');
	check(falseNotRun === 0, 'a caller that is told "not run" can trust it');
	check(falseRan === 0, 'a caller that is told "ran" can trust it');
	check(new Set(outcome.versions).size === 1, 'every node has the same version in force');
	const rows: ReadonlyArray<readonly [string, string]> = [
		['calls for pages', String(counts.calls)],
		['  whole answers', String(counts.whole)],
		['  wrong answers', String(counts.wrong)],
		['  told "not run"', String(counts.notRun)],
		['  told "may have run"', String(counts.mayHaveRun)],
		['  connection lost', String(counts.lost)],
		['publications', String(outcome.publications.length)],
		['  ran', String([...runs.values()].filter(count => count > 0).length)],
		['  ran twice', String(twice)],
		['  told "not run" but ran', String(falseNotRun)],
		['versions in force', [...new Set(outcome.versions)].join(', ')],
		['from the first node to the last', `${outcome.convergenceMs.join(' ms, ')} ms`],
		['control bytes a node a second', outcome.controlBytesPerSecond.toFixed(0)],
		['store calls', `${outcome.storeCalls.reads} reads, ${outcome.storeCalls.writes} writes, ${outcome.storeCalls.watches} watches`],
	];
	process.stdout.write(`\n${rows.map(([name, value]) => `${name.padEnd(34)} ${value}`).join('\n')}\n\n`);
}

async function runDemo(mesh: Mesh): Promise<void> {
	const [first, second, third, fourth] = mesh.nodes;
	if (first === undefined || second === undefined || third === undefined || fourth === undefined) {
		throw new Error('the mesh has too few nodes');
	}

	await startMesh(mesh);
	printStep(await runCli(first, 'submit', new URL('../../examples/build-mesh.yaml', import.meta.url).pathname, '--wait'));

	const callers = startPolling(mesh.nodes, callerCount);
	stopCallers = callers.stop;
	const publications: Publication[] = [];
	printStep(`${callerCount} callers poll pages through every node`);
	publications.push(await publish(second, 'release-1'), await publish(third, 'release-1'));
	printStep(`release-1 was published: ${publications[0]?.verdict}; again with the same key through another node: ${publications[1]?.status} ${publications[1]?.verdict}`);
	check(publications[0]?.verdict === 'ran', 'a publication runs');

	const uploaded = await uploadBundle(first, 'bundle-1', bundleBytes);
	const fetched = await fetchBundle(fourth, 'bundle-1');
	printStep(`a bundle of ${bundleBytes / 1024 / 1024} MB was uploaded (${uploaded.status}) and fetched back, ${uploaded.digest === fetched ? 'the same' : 'DIFFERENT'}`);
	check(uploaded.digest === fetched, 'an upload arrives whole');

	const convergenceMs = [await reviseConfiguration(mesh, mesh.nodes, 1)];
	printStep(`revision 1 is in force on every node; the last had it ${convergenceMs[0]} ms after the first`);

	printStep(`${second.serverId} drains while calls run`);
	await runCli(second, 'drain');
	const before = await fetchRequestCounts(second);
	await waitForCalls(callers);
	const after = await fetchRequestCounts(second);
	printStep(`${second.serverId} got ${after.requests - before.requests} new requests while callers got ${answersPerCheck} answers after it was drained`);
	check(after.requests === before.requests, 'a leaving backend server gets no new work');

	await callers.avoid('node-6');
	const {lost} = callers.getCounts();
	printStep('node-6 is killed');
	await killProcess('node-6');
	publications.push(await publish(first, 'release-2'));
	await waitForCalls(callers);
	check(callers.getCounts().lost === lost, 'calls through other nodes go on when a node dies');

	const storeCalls = await fetchJson<StoreCallCounts>(`http://${mesh.storeAddress}/calls`);
	printStep('the store is taken away');
	await killProcess('store');
	const duringOutage = await publish(third, 'release-3');
	publications.push(duringOutage);
	printStep(`release-3 while the store is down: ${duringOutage.status} ${duringOutage.verdict}`);
	const refusal = await tryCli(first, 'submit', await writeRevision(mesh, 99));
	printStep(`a submission while the store is down: ${refusal.split(': ').slice(1).join(': ').slice(0, 140)}`);
	const liveNodes = mesh.nodes.filter(node => node.id !== 'node-6');
	registerProcess(startStore(mesh));
	check(await waitForStore(mesh), 'the store answers again');
	printStep('the store is back, but empty, as after a loss: the fleet keeps what it has');
	printStep(await runCli(first, 'republish'));
	convergenceMs.push(await reviseConfiguration(mesh, liveNodes, 2));
	printStep(`revision 2 is in force on every node; the last had it ${convergenceMs[1]} ms after the first`);
	publications.push(await publish(third, 'release-3'));
	printStep(`release-3 again: ${publications.at(-1)?.verdict}`);

	await callers.stop();
	stopCallers = undefined;
	const statuses = await Promise.all(liveNodes.map(async node => fetchJson<NodeStatusAnswer>(`http://${node.operators}/v1/status`)));
	const seconds = (Date.now() - startedAt) / 1000;
	const bytes = statuses.reduce((total, status) => total + status.controlBytes.sent + status.controlBytes.received, 0) / statuses.length;
	printTable({
		callers, publications, convergenceMs, storeCalls, requestCounts: await collectRequestCounts(mesh.nodes), versions: statuses.map(status => status.version), controlBytesPerSecond: bytes / seconds,
	});
	process.stdout.write('The last events of the time line:\n');
	const events = await runCli(first, 'timeline');
	process.stdout.write(`${events.split('\n').filter(line => !line.includes('call-finished')).slice(-12).join('\n')}\n\n`);
}

async function stopAll(): Promise<void> {
	for (const {child} of processes.values()) {
		child.kill('SIGKILL');
	}

	await Promise.all([...processes.values()].map(async running => running.waitForExit()));
	await stopCallers?.();
}

function printResult(): void {
	process.stdout.write(brokenPromises.length === 0 ? 'Every promise held.\n' : `Broken:\n${brokenPromises.map(promise => `  ${promise}`).join('\n')}\n`);
}

function printFailure(error: Error): void {
	brokenPromises.push(error.message);
	process.stdout.write(`${error.stack ?? ''}\n`);
	for (const running of processes.values()) {
		process.stdout.write(`--- ${running.name}\n${running.getOutput().slice(-1500)}\n`);
	}
}

const mesh = await prepareMesh();

/** What hangs cannot be stopped in order. */
const demoTimer = setTimeout(() => {
	const error = new Error(`the demo was not done after ${demoTimeoutMs / 1000} s`);
	printFailure(error);
	for (const {child} of processes.values()) {
		child.kill('SIGKILL');
	}

	printResult();
	// Nobody catches it, so this process ends here, with code 1.
	throw error;
}, demoTimeoutMs);
try {
	await runDemo(mesh);
} catch (error) {
	printFailure(error as Error);
} finally {
	await stopAll();
	await rm(mesh.directory, {recursive: true, force: true});
}

clearTimeout(demoTimer);
printResult();
process.exitCode = brokenPromises.length === 0 ? 0 : 1;
