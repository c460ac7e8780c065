import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import test from 'node:test';
import {toAddress} from '../common/ids.js';
import {isRefusingConnections} from './refused-connection.js';

test('a listening server does not refuse connections; an address without a listener does', async () => {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	assert.equal(await isRefusingConnections(address, 1000), false);
	await new Promise(resolve => {
		server.close(resolve);
	});
	assert.equal(await isRefusingConnections(address, 1000), true);
});

test('a process that was busy for longer than the timeout still reads a refusal that arrived meanwhile', async () => {
	const asked = isRefusingConnections(toAddress('127.0.0.1:1'), 20);
	const until = performance.now() + 80;
	while (performance.now() < until) {
		// Blocks the event loop, so that both the refusal and the timeout are due in its next iteration.
	}

	assert.equal(await asked, true);
});
