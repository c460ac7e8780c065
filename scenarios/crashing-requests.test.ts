/**
 * Guards against a request that crashes every backend server it is sent to. If a node handles a lost connection
 * only within the one call and doesn't remember the request, each repeat of the request crashes the next server:
 * with seven requests a second and servers that restart after 600 ms, 62 servers crashed in 14 s, 44 of them
 * more than 3 s after the third crash. Runs nodes with the stand-in for a users' backend server.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {parseConfigurationDocument} from '../src/index.js';
import {createWorld, waitFor, type World} from './world.js';

const fatalPage = '/logs/fatal?page=3';
const serverNames = ['logview-1', 'logview-2', 'logview-3', 'logview-4'] as const;

/** All nodes refuse the request within this time after the third crash. The users require this bound. */
const detectionBoundMs = 3000;

/** Maximum number of crashes after that time. The users require this bound. */
const maximumLateCrashes = 3;

/** Maximum number of crashes that one page causes while nodes start and stop. This is a documented aim. */
const maximumCrashes = 6;

/** A crashed server is started again after this time. */
const restartDelayMs = 600;

async function startWorld(context: TestContext): Promise<World> {
	const world = await createWorld();
	context.after(world.dispose);
	await world.startNodes(4, 2);
	for (const [place, name] of serverNames.entries()) {
		await world.startServer(name, 'logview', `node-${place + 1}`);
		world.getServer(name).setBehaviour({crashPath: fatalPage, workMs: 20});
	}

	const items = parseConfigurationDocument(await readFile(new URL('../../examples/build-mesh.yaml', import.meta.url), 'utf8'))._unsafeUnwrap();
	await world.submit('node-1', items.map(item => ({type: 'put', item})));
	await waitFor('the configuration is in force on every node', () => world.listRunning().every(({node}) => node.getStatus().version > 0));
	return world;
}

/** Restarts crashed servers until stopped. Records the time of each crash. */
function restartCrashedServers(world: World): {readonly crashes: readonly number[]; readonly stop: () => Promise<void>} {
	const crashes: number[] = [];
	let isStopped = false;
	const restartCrashedServer = async (name: string): Promise<void> => {
		while (!isStopped) {
			if (!world.getServer(name).isUp()) {
				crashes.push(Date.now());
				await sleep(restartDelayMs);
				const server = await world.restartServer(name);
				server.setBehaviour({crashPath: fatalPage, workMs: 20});
			}

			await sleep(5);
		}
	};

	const running = serverNames.map(async name => restartCrashedServer(name));
	return {
		crashes,
		async stop() {
			isStopped = true;
			await Promise.all(running);
		},
	};
}

test('a page that crashes its backend server is refused after three crashes, and other pages are served meanwhile', async context => {
	const world = await startWorld(context);
	const {crashes, stop} = restartCrashedServers(world);
	const endsAt = Date.now() + 14_000;
	const otherCalls: Array<Promise<{readonly at: number; readonly status: number}>> = [];
	const callPage = async (node: string, path: string): Promise<{readonly at: number; readonly status: number}> => {
		const at = Date.now();
		const {status} = await world.call(node, {path});
		return {at, status};
	};

	const fatalCalls: typeof otherCalls = [];
	for (let turn = 0; Date.now() < endsAt; turn++) {
		const node = `node-${(turn % 4) + 1}`;
		fatalCalls.push(callPage(node, fatalPage));
		otherCalls.push(callPage(node, `/logs/page-${turn}`));
		await sleep(150);
	}

	const [fatalAnswers, otherAnswers] = [await Promise.all(fatalCalls), await Promise.all(otherCalls)];
	await stop();
	const thirdCrashAt = crashes[2] ?? crashes.at(-1);
	assert.ok(thirdCrashAt !== undefined, 'the page crashed no server');
	const late = crashes.filter(at => at > thirdCrashAt + detectionBoundMs).length;
	context.diagnostic(`${crashes.length} servers crashed, ${late} of them late`);
	assert.ok(late <= maximumLateCrashes && crashes.length <= maximumCrashes, `${crashes.length} servers crashed, ${late} of them late`);
	assert.deepEqual(fatalAnswers.filter(({at, status}) => at > thirdCrashAt + detectionBoundMs && status !== 503), [], 'a repeated request was not refused with status 503');
	const laterAnswers = otherAnswers.filter(({at}) => at > thirdCrashAt + 1000);
	assert.ok(laterAnswers.filter(({status}) => status === 200).length >= 0.95 * laterAnswers.length, 'fewer than 95 % of the calls for other pages succeeded');
});
