/**
 * Tests failures that need separate processes: nodes that are suspended or killed.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	fetchJson, prepareMesh, startNode, startStore, type Mesh, type MeshNode,
} from '../demo/mesh.js';
import {startProcess, type RunningProcess} from '../demo/processes.js';
import {type NodeStatusResponse, type TimelineEvent} from '../src/index.js';
import {waitUntil} from '../stand-ins/wait-until.js';

async function fetchStatus(node: MeshNode): Promise<NodeStatusResponse> {
	return fetchJson<NodeStatusResponse>(`http://${node.operators}/v1/status`);
}

async function expectVersion(nodes: readonly MeshNode[], version: number): Promise<void> {
	for (const node of nodes) {
		const hasVersion = await waitUntil(async () => {
			const status = await fetchStatus(node);
			return status.isReady && status.version === version;
		}, 16_000);
		assert.ok(hasVersion, `${node.id} is not ready with version ${version} within 16 s`);
	}
}

async function submitPool(mesh: Mesh, node: MeshNode, name: string): Promise<void> {
	const file = join(mesh.directory, `${name}.yaml`);
	await writeFile(file, `pools:\n  - {name: ${name}, service: s}\n`);
	const cli = startProcess('cli', 'apps/cli/main.js', ['submit', file, '--node', node.operators]);
	assert.equal(await cli.waitForExit(), 0, cli.getOutput());
}

async function findRelay(nodes: readonly MeshNode[], domain: string): Promise<MeshNode> {
	const statuses = await Promise.all(nodes.map(async node => fetchStatus(node)));
	const relay = nodes.find((node, index) => node.domain === domain && statuses[index]?.isRelay);
	assert.ok(relay);
	return relay;
}

test('a relay that is suspended while versions are submitted and a node that is killed and restarted reach the newest version, and no node reverts to an older one', {timeout: 120_000}, async t => {
	const mesh = await prepareMesh();
	const processes = new Map<string, RunningProcess>([['store', startStore(mesh)]]);
	t.after(async () => {
		for (const {child} of processes.values()) {
			child.kill('SIGKILL');
		}

		await rm(mesh.directory, {recursive: true, force: true});
	});
	for (const node of mesh.nodes) {
		processes.set(node.id, startNode(node));
	}

	await expectVersion(mesh.nodes, 0);
	await waitUntil(async () => {
		const statuses = await Promise.all(mesh.nodes.map(async node => fetchStatus(node)));
		return statuses.every(status => status.knownNodes === mesh.nodes.length);
	}, 15_000);

	const suspended = await findRelay(mesh.nodes, 'north-a');
	const others = mesh.nodes.filter(node => node !== suspended);
	processes.get(suspended.id)?.child.kill('SIGSTOP');
	await submitPool(mesh, others[0]!, 'a');
	await submitPool(mesh, others[1]!, 'b');
	await expectVersion(others, 2);
	await sleep(7000);
	await submitPool(mesh, others[2]!, 'c');
	await expectVersion(others, 3);
	processes.get(suspended.id)?.child.kill('SIGCONT');
	await expectVersion(mesh.nodes, 3);

	const killed = others[0]!;
	processes.get(killed.id)?.child.kill('SIGKILL');
	await submitPool(mesh, others[1]!, 'd');
	await expectVersion(mesh.nodes.filter(node => node !== killed), 4);
	processes.set(killed.id, startNode(killed));
	await expectVersion(mesh.nodes, 4);

	for (const node of mesh.nodes) {
		const events = await fetchJson<readonly TimelineEvent[]>(`http://${node.operators}/v1/timeline`);
		const versions = events.flatMap(event => event.kind === 'configuration-applied' ? [event.version] : []);
		assert.deepEqual(versions, versions.toSorted((left, right) => left - right), `${node.id} applied versions in the order ${versions.join(', ')}`);
	}
});
