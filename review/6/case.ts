/**
 * The operator writes versions of a large configuration in quick succession to a mesh whose machines have slow links.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../mesh-2/client.js';
import {createConfig, firstVersion, grownBounds} from '../mesh-2/deployment.js';
import {runInMesh, type MachineOptions} from '../mesh-2/mesh.js';

/** Bandwidth of the small machines of the deployment. */
const linkMbps = 10;

/** Bound `config-apply` of the deployment. */
const configApplyMs = 2500;

/** The routes without traffic of the site file, and those that `big_config` adds. */
const idleRouteCount = 800 + 1400;

/** The dose of `config_storm` in the site file. */
const stormMs = 4000;
const stormGapMs = 330;

/** Each version of the storm changes the time-out of one route, in milliseconds. */
const firstIdleTimeoutMs = 2500;

/** For this long after the bound, the machines are asked which version they have. */
const observedMs = 8000;
const askPeriodMs = 250;

/** Interval at which the delay of the stand-ins' own timers is measured. */
const lagCheckMs = 20;

const createMachine = (name: string, zone: string, service: string): MachineOptions => ({
	name, zone, service, linkMbps, worker: {slots: 8, queue: 32, computeWorkMs: () => 20},
});

void runInMesh('review/6', {
	bounds: grownBounds,
	config: createConfig({idleRouteCount}),
	slowLinkMbps: 100,
	machines: [
		createMachine('log-a', 'hall-a', 'logview'),
		createMachine('rel-a', 'hall-a', 'releasehall'),
		createMachine('log-b', 'hall-b', 'logview'),
		createMachine('rel-b', 'hall-b', 'releasehall'),
		createMachine('log-c', 'hall-c', 'logview'),
		createMachine('dep-c', 'hall-c', 'depstore'),
	],
}, async ({record, store, machines}, hasTrouble) => {
	let maxLagMs = 0;
	let checkedAt = record.getTime();
	const lagTimer = setInterval(() => {
		const now = record.getTime();
		maxLagMs = Math.max(maxLagMs, now - checkedAt - lagCheckMs);
		checkedAt = now;
	}, lagCheckMs);
	const stormCount = hasTrouble ? Math.floor(stormMs / stormGapMs) : 0;
	for (let count = 1; count <= stormCount; count++) {
		store.putConfig(createConfig({version: firstVersion + count, idleRouteCount, idleTimeoutMs: firstIdleTimeoutMs + count}));
		record.write(`the operator has the ack of version ${firstVersion + count}`);
		await sleep(stormGapMs);
	}

	// The last version moves the route of reads to another service.
	const version = firstVersion + stormCount + 1;
	store.putConfig(createConfig({
		version, idleRouteCount, logService: 'releasehall',
	}));
	const acknowledgedAt = record.getTime();
	record.write(`the operator has the ack of version ${version}, which moves a route; ${JSON.stringify(createConfig({idleRouteCount})).length} bytes`);
	await sleep(configApplyMs);
	const services = new Map(machines.map(({worker, service}) => [worker.id, service]));
	let oldCount = 0;
	for (let round = 0; record.getTime() < acknowledgedAt + configApplyMs + observedMs; round++) {
		const sentAfterMs = (record.getTime() - acknowledgedAt).toFixed(0);
		const outcomes = await Promise.all(machines.map(async ({host, name}) => sendRequest({
			machine: host, call: `read-${name}-${round}`, method: 'GET', host: 'agencies.example', path: `/logs/${round}`, deadlineMs: 2500,
		}, record)));
		for (const {call, status, body} of outcomes) {
			const [, worker = ''] = body.split(' ');
			if (status === 200 && services.get(worker) !== 'releasehall') {
				oldCount++;
				record.write(`${call}, sent ${sentAfterMs} ms after the ack, was run by ${services.get(worker)}`);
			}
		}

		await sleep(askPeriodMs);
	}

	clearInterval(lagTimer);
	record.write(`${oldCount} requests were run by the old service; the stand-ins were late by ${maxLagMs.toFixed(0)} ms at most`);
	return oldCount === 0;
});
