/**
 * A node gets SIGTERM, and then an upload whose body is on its way to another machine until the node exits.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../mesh-2/client.js';
import {createConfig, grownBounds} from '../mesh-2/deployment.js';
import {runInMesh, type MachineOptions} from '../mesh-2/mesh.js';

/** Bandwidth of the small machines of the deployment. */
const linkMbps = 10;

/** Takes 4.8 s over such a link. */
const bodyBytes = 6_000_000;

/** Timeout of the route. */
const timeoutMs = 6500;

/** Between SIGTERM and the upload. The platform has not found the node unready twice by then. */
const sendAfterMs = 800;

/** Bounds `lost-slack` and `grace-period` of the deployment. */
const lostSlackMs = 200;
const graceMs = 6000;

const createMachine = (name: string, zone: string, service: string): MachineOptions => ({
	name, zone, service, linkMbps, worker: {slots: 8, queue: 32, computeWorkMs: () => 200},
});

void runInMesh('review/5', {
	bounds: grownBounds,
	config: createConfig(),
	machines: [
		createMachine('log-a-1', 'hall-a', 'logview'),
		createMachine('log-a-2', 'hall-a', 'logview'),
		createMachine('dep-a', 'hall-a', 'depstore'),
		createMachine('dep-b', 'hall-b', 'depstore'),
		createMachine('log-b', 'hall-b', 'logview'),
		createMachine('rel-b', 'hall-b', 'releasehall'),
	],
}, async ({record, machines, getMachine}, hasTrouble) => {
	const machine = getMachine('log-a-1');
	for (const {host, name} of machines.filter(({service}) => service === 'logview')) {
		for (let count = 0; count < 3; count++) {
			await sendRequest({
				machine: host, call: `read-${name}-${count}`, method: 'GET', host: 'agencies.example', path: `/logs/${count}`, deadlineMs: 2500,
			}, record);
		}
	}

	const terminatedAt = record.getTime();
	let killTimer: NodeJS.Timeout | undefined;
	if (hasTrouble) {
		machine.signalNode('SIGTERM');
		killTimer = setTimeout(() => {
			machine.signalNode('SIGKILL');
		}, graceMs);
	}

	await sleep(sendAfterMs);
	const startedAt = record.getTime();
	const outcome = await sendRequest({
		machine: machine.host, call: 'upload', method: 'POST', host: 'agencies.example', path: '/bundles/1', deadlineMs: 6559, body: Buffer.alloc(bodyBytes, 'b'),
	}, record);
	clearTimeout(killTimer);
	const arrival = machines.flatMap(({worker}) => worker.arrivals).find(({call}) => call === 'upload');
	// Excused: the route's timeout, and what ends later than 1 s after the grace period.
	const isExcused = outcome.endedAt - startedAt >= timeoutMs || outcome.endedAt - terminatedAt > graceMs + 1000;
	const isLate = outcome.endedAt - outcome.sentAt > lostSlackMs;
	const isAtWork = arrival?.startedAt !== undefined && arrival.endedAt === undefined;
	const tookMs = (outcome.endedAt - outcome.sentAt).toFixed(0);
	record.write(`the upload ended as ${outcome.end}, ${tookMs} ms after its last byte; it reached ${arrival === undefined ? 'no worker' : 'a worker'}`);
	const hasEndedEarly = outcome.end === 'closed' && isLate && !isAtWork && !isExcused;
	return !hasEndedEarly && (hasTrouble || (outcome.status === 200 && outcome.isSigned));
});
