/**
 * Steps that cause faults of the network, of nodes and of the store.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {toFailureDomain} from '../../src/index.js';
import {storeHost, waitFor} from '../world.js';
import {defineStep} from './define-step.js';

defineStep('a network partition isolates {word}', ({world}, name: string) => {
	const others = world.listRunning().filter(node => node.name !== name).map(({host}) => host);
	world.network.partition([world.getNode(name).host], [...others, storeHost]);
});

defineStep('a network partition isolates {word} from all nodes, but not from the store', ({world}, name: string) => {
	const others = world.listRunning().filter(node => node.name !== name).map(({host}) => host);
	world.network.partition([world.getNode(name).host], others);
});

defineStep('eventually {int} nodes are relays', async ({world}, count: number) => {
	await waitFor(`${count} nodes are relays`, () => world.listRunning().filter(({node}) => node.getStatus().isRelay).length === count);
});

defineStep('a network partition separates {word} from {word}', ({world}, left: string, right: string) => {
	const listHosts = (domain: string): readonly string[] => world.listRunning()
		.filter(({settings}) => settings.failureDomain === toFailureDomain(domain))
		.map(({host}) => host);
	world.network.partition(listHosts(left), listHosts(right));
});

defineStep('the network partition heals', ({world}) => {
	world.network.heal();
});

defineStep('the relay of {word} is killed', async ({world}, domain: string) => {
	const relay = world.listRunning().find(({node}) => node.getStatus().isRelay && node.getStatus().failureDomain === domain);
	assert.ok(relay);
	await world.killNode(relay.name);
});

defineStep('{word} is killed', async ({world}, node: string) => {
	await world.killNode(node);
});

defineStep('{word} is restarted', async ({world}, node: string) => {
	await world.restartNode(node);
});

defineStep('half of the nodes are killed and restarted', async ({world}) => {
	const half = world.listRunning().filter((_, index) => index % 2 === 0);
	await Promise.all(half.map(async ({name}) => world.killNode(name)));
	await Promise.all(half.map(async ({name}) => world.restartNode(name)));
});

defineStep('all nodes of {word} are killed and restarted', async ({world}, domain: string) => {
	const nodes = world.listRunning().filter(({settings}) => settings.failureDomain === toFailureDomain(domain));
	await Promise.all(nodes.map(async ({name}) => world.killNode(name)));
	await Promise.all(nodes.map(async ({name}) => world.restartNode(name)));
});

defineStep('{word} becomes ready', async ({world}, name: string) => {
	await waitFor(`${name} is ready`, () => world.getNode(name).node.getStatus().isReady);
});

defineStep('every node becomes ready', async ({world}) => {
	await waitFor('every node is ready', () => world.listRunning().every(({node}) => node.getStatus().isReady));
});

defineStep('the store is down', ({world}) => {
	world.store.setFaults({isDown: true});
});

defineStep('the store is available again', ({world}) => {
	world.store.setFaults({isDown: false});
});

defineStep('the store applies the next write, but its response is lost', ({world}) => {
	world.store.setFaults({writesToLose: 1});
});

defineStep('the store drops the next write without a response', ({world}) => {
	world.store.setFaults({writesToDrop: 1});
});

defineStep('a backup of the store is made', state => {
	state.backup = state.world.store.createBackup();
});

defineStep('the store is restored from the backup', ({world, backup}) => {
	world.store.restoreBackup(backup);
});
