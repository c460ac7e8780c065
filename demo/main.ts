/**
 * Runs a mesh of processes over loopback through a new configuration, a drain,
 * a killed node and a lost store, and checks stonemoor's guarantees
 * against the counts of callers and backend servers.
 *
 * @module
 */
import {readFile, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {request as sendRequest} from 'undici';
import {parse, stringify} from 'yaml';
import {type NodeStatusResponse} from '../src/index.js';
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

/** Number of complete responses that callers must receive before a check: about a hundred through each node. */
const answersPerCheck = 600;

/** The demo ends by itself within a minute, even if something hangs. */
const demoTimeoutMs = 55_000;

const startedAt = Date.now();
const processes = new Map<string, RunningProcess>();
const brokenPromises: string[] = [];
let stopCallers: (() => Promise<void>) | undefined;

function printStep(text: string): void {
	process.stdout.write(`${((Date.now() - startedAt) / 1000).toFixed(2).padStart(7)} s  ${text}\n`);
}

function check(isMet: boolean, promise: string): void {
	if (!isMet) {
		brokenPromises.push(promise);
		printStep(`BROKEN: ${promise}`);
	}
}

/** Sends SIGKILL to a process and waits until it exits. */
async function killProcess(name: string): Promise<void> {
	const running = processes.get(name);
	running?.child.kill('SIGKILL');
	await running?.waitForExit();
}

/** Waits until callers have received `answersPerCheck` more complete responses. */
async function waitForCalls(callers: Callers): Promise<void> {
	const {complete} = callers.getCounts();
	check(await waitUntil(() => callers.getCounts().complete >= complete + answersPerCheck, 10_000), `callers get ${answersPerCheck} complete responses within 10 s`);
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

/** Runs a command that may fail. Returns its output or the error message. */
async function tryCli(node: MeshNode, ...parameters: readonly string[]): Promise<string> {
	try {
		return await runCli(node, ...parameters);
	} catch (error) {
		return (error as Error).message;
	}
}

async function isNodeReady(node: MeshNode): Promise<boolean> {
	const status = await fetchJson<NodeStatusResponse>(`http://${node.operators}/v1/status`);
	return status.isReady;
}

async function fetchRequestCounts(node: MeshNode): Promise<RequestCounts> {
	return fetchJson<RequestCounts>(`http://${node.serverAddress}/_ledger`);
}

async function startMesh(mesh: Mesh): Promise<void> {
	registerProcess(startStore(mesh));
	check(await waitForStore(mesh), 'the store responds');
	printStep('the stand-in for the platform\'s store is running');
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

/** Writes a configuration with a route that a node answers itself, so that callers can see whether the node has this revision in force. */
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

/** Submits a revision. Returns the milliseconds from the first to the last node that has it in force, as seen by callers. */
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
	check(counts.wrong === 0, 'every response is complete and belongs to its request');
	check(counts.lost === 0, 'no call lost its connection to a running node');
	check(twice === 0, 'a request that is not retryable runs at most once');
	check(falseNotRun === 0, 'a request with no verdict but "not-run" did not run');
	check(falseRan === 0, 'a successful request with the verdict "ran" ran exactly once');
	check(new Set(outcome.versions).size === 1, 'every node has the same version in force');
	const rows: ReadonlyArray<readonly [string, string]> = [
		['calls for pages', String(counts.calls)],
		['  complete responses', String(counts.complete)],
		['  wrong responses', String(counts.wrong)],
		['  verdict "not-run"', String(counts.notRun)],
		['  verdict "may-have-run"', String(counts.mayHaveRun)],
		['  connection lost', String(counts.lost)],
		['publications', String(outcome.publications.length)],
		['  ran', String([...runs.values()].filter(count => count > 0).length)],
		['  ran twice', String(twice)],
		['  verdict "not-run", but ran', String(falseNotRun)],
		['versions in force', [...new Set(outcome.versions)].join(', ')],
		['spread from first to last node', `${outcome.convergenceMs.join(' ms, ')} ms`],
		['control bytes per node and second', outcome.controlBytesPerSecond.toFixed(0)],
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
	printStep(`${callerCount} callers fetch pages through every node`);
	publications.push(await publish(second, 'release-1'), await publish(third, 'release-1'));
	printStep(`release-1 was published: ${publications[0]?.verdict}; again with the same key through another node: ${publications[1]?.status} ${publications[1]?.verdict}`);
	check(publications[0]?.verdict === 'ran', 'a publication has the verdict "ran"');

	const uploaded = await uploadBundle(first, 'bundle-1', bundleBytes);
	const fetched = await fetchBundle(fourth, 'bundle-1');
	printStep(`a bundle of ${bundleBytes / 1024 / 1024} MB was uploaded (${uploaded.status}) and fetched back, ${uploaded.digest === fetched ? 'unchanged' : 'DIFFERENT'}`);
	check(uploaded.digest === fetched, 'an uploaded bundle is fetched back unchanged');

	const convergenceMs = [await reviseConfiguration(mesh, mesh.nodes, 1)];
	printStep(`revision 1 is in force on every node, on the last one ${convergenceMs[0]} ms after the first`);

	printStep(`${second.serverId} is drained while callers fetch pages`);
	await runCli(second, 'drain');
	const before = await fetchRequestCounts(second);
	await waitForCalls(callers);
	const after = await fetchRequestCounts(second);
	printStep(`after its drain ${second.serverId} got ${after.requests - before.requests} new requests while callers got ${answersPerCheck} complete responses`);
	check(after.requests === before.requests, 'a drained backend server gets no new requests');

	await callers.avoid('node-6');
	const {lost} = callers.getCounts();
	printStep('node-6 is killed');
	await killProcess('node-6');
	publications.push(await publish(first, 'release-2'));
	await waitForCalls(callers);
	check(callers.getCounts().lost === lost, 'calls through other nodes keep their connections when a node is killed');

	const storeCalls = await fetchJson<StoreCallCounts>(`http://${mesh.storeAddress}/calls`);
	printStep('the store is killed');
	await killProcess('store');
	const duringOutage = await publish(third, 'release-3');
	publications.push(duringOutage);
	printStep(`release-3 while the store is down: ${duringOutage.status} ${duringOutage.verdict}`);
	const refusal = await tryCli(first, 'submit', await writeRevision(mesh, 99));
	printStep(`a submission while the store is down: ${refusal.split(': ').slice(1).join(': ').slice(0, 140)}`);
	const liveNodes = mesh.nodes.filter(node => node.id !== 'node-6');
	registerProcess(startStore(mesh));
	check(await waitForStore(mesh), 'the store responds again');
	printStep('the store is restarted without its data; the nodes keep their configuration');
	printStep(await runCli(first, 'republish'));
	convergenceMs.push(await reviseConfiguration(mesh, liveNodes, 2));
	printStep(`revision 2 is in force on every node, on the last one ${convergenceMs[1]} ms after the first`);
	publications.push(await publish(third, 'release-3'));
	printStep(`release-3 again: ${publications.at(-1)?.verdict}`);

	await callers.stop();
	stopCallers = undefined;
	const statuses = await Promise.all(liveNodes.map(async node => fetchJson<NodeStatusResponse>(`http://${node.operators}/v1/status`)));
	const seconds = (Date.now() - startedAt) / 1000;
	const bytes = statuses.reduce((total, status) => total + status.controlBytes.sent + status.controlBytes.received, 0) / statuses.length;
	printTable({
		callers,
		publications,
		convergenceMs,
		storeCalls,
		requestCounts: await collectRequestCounts(mesh.nodes),
		versions: statuses.map(status => status.version),
		controlBytesPerSecond: bytes / seconds,
	});
	process.stdout.write('The last events of the timeline:\n');
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

/** Kills all processes if the demo hangs. */
const demoTimer = setTimeout(() => {
	const error = new Error(`the demo did not end within ${demoTimeoutMs / 1000} s`);
	printFailure(error);
	for (const {child} of processes.values()) {
		child.kill('SIGKILL');
	}

	printResult();
	// The error is not caught, so this process exits with code 1.
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
