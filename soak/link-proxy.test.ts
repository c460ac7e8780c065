import assert from 'node:assert/strict';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {sendCall, type CallerResponse} from '../platform/test-mesh.js';
import {startPlatformServer, type PlatformServer} from '../stand-ins/platform-server/platform-server.js';
import {startLinkProxy, type LinkMode, type LinkProxy} from './link-proxy.js';

const address = `127.79.${process.pid % 250}.1:7010`;

type Link = {readonly server: PlatformServer; readonly proxy: LinkProxy; readonly call: () => Promise<CallerResponse>};

async function startLink(context: TestContext): Promise<Link> {
	const server = await startPlatformServer('i-1');
	const proxy = await startLinkProxy(address, server.address);
	context.after(async () => {
		await proxy.close();
		await server.close();
	});
	return {server, proxy, call: async () => sendCall(address, '/logs/1', {disconnectAfterMs: 5000})};
}

test('forwards everything in mode "pass", and nothing with "reset", "turn-away" or without a target', async context => {
	const {server, proxy, call} = await startLink(context);
	assert.equal((await call()).body, 'page /logs/1 ');
	proxy.setMode('reset');
	assert.equal((await call()).status, 0);
	proxy.setMode('turn-away');
	assert.equal((await call()).status, 503);
	proxy.setMode('pass');
	proxy.setTarget(undefined);
	assert.equal((await call()).status, 0);
	assert.equal(server.runs.length, 1);
});

const cuts: ReadonlyArray<readonly [LinkMode, number]> = [['cut-to-server', 0], ['cut-to-client', 1], ['silence', 0]];

for (const [mode, runs] of cuts) {
	test(`in mode "${mode}", the bytes in that direction arrive when the mode ends`, async context => {
		const {server, proxy, call} = await startLink(context);
		proxy.setMode(mode);
		const answer = call();
		await sleep(200);
		assert.equal(server.runs.length, runs);
		proxy.setMode('pass');
		assert.equal((await answer).status, 200);
	});
}

/** Returns whether a connection ends with a reset. A reset that is reported as an ordinary end is detected by a write that fails. */
async function isEndedByReset(): Promise<boolean> {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port), allowHalfOpen: true});
	return new Promise(resolve => {
		socket.on('error', () => {
			resolve(true);
		});
		socket.on('data', () => undefined);
		socket.once('end', () => {
			socket.write('\r\n', error => {
				resolve(error !== null && error !== undefined);
				socket.destroy();
			});
		});
		socket.write('GET /logs/1 HTTP/1.1\r\nHost: mesh.example\r\n\r\n');
	});
}

test('forwards a reset directly after the last bytes as a reset, and an ordinary end as an end', async context => {
	const {server} = await startLink(context);
	for (let sent = 0; sent < 20; sent++) {
		server.planBehaviours('unframed-cut', 'unframed');
		assert.equal(await isEndedByReset(), true);
		assert.equal(await isEndedByReset(), false);
	}
});
