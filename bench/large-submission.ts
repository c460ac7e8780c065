/**
 * `npm run bench -- large`: measures one submission with a configuration of 3,200 services.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startStoreServer} from '../stand-ins/store/store-server.js';
import {waitUntil} from '../stand-ins/wait-until.js';
import {startFleet} from './fleet.js';
import {createItems, createRevisedPool} from './sample-configuration.js';
import {formatMarkdown} from './statistics.js';
import {measureConvergence, submitItems} from './submitter.js';

const nodeCount = 13;
const serviceCount = 3200;
const settleMs = 4000;

/** Submits the configuration and then a change of one item, and prints the time that each took. */
export async function runLargeSubmission(): Promise<void> {
	const store = await startStoreServer('127.0.0.1', 0);
	const fleet = startFleet({
		nodes: nodeCount, mode: 'mesh', storeAddress: store.address, workers: nodeCount, domains: 3,
	});
	await waitUntil(() => fleet.countReady() >= nodeCount, 60_000);
	await sleep(settleMs);
	const names = fleet.settings.map(settings => settings.node);
	const operatorAddress = fleet.settings[0]?.listen.operators ?? '';
	const items = createItems(serviceCount);
	const before = await fleet.getUsage();
	const rows: Array<readonly string[]> = [];
	for (const [name, changed, version] of [['3,200 services at once', items, 1], ['then one pool', [createRevisedPool(7, 1)], 2]] as const) {
		const sentAt = Date.now();
		const outcome = await submitItems(operatorAddress, changed, version - 1);
		const acceptedMs = Date.now() - sentAt;
		await waitUntil(() => measureConvergence(fleet, names, [{version, sentAt}]).every(ms => Number.isFinite(ms)), 60_000);
		const everywhereMs = Math.max(...measureConvergence(fleet, names, [{version, sentAt}]));
		rows.push([name, `${(JSON.stringify(changed).length / 1e6).toFixed(2)} MB`, outcome.type, String(acceptedMs), String(everywhereMs)]);
	}

	await sleep(settleMs);
	const after = await fleet.getUsage();
	const image = store.store.createBackup();
	const largest = Math.max(...image.map(([, {value}]) => value.length));
	process.stdout.write(`${formatMarkdown(['submission', 'size', 'outcome', 'accepted after ms', 'in force on 13 nodes after ms'], rows)}\n`);
	const [heapBefore, heapAfter] = [before, after].map(usage => (usage.heapBytes / nodeCount / 1e6).toFixed(1));
	process.stdout.write(`Heap of a node: ${heapBefore} MB before, ${heapAfter} MB after, process included. `);
	process.stdout.write(`The store holds ${image.length} values, the largest of ${(largest / 1e6).toFixed(2)} MB.\n`);
	await fleet.dispose();
	await store.dispose();
}
