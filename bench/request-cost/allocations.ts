/**
 * A program that prints how much memory a call through two nodes allocates, as a multiple
 * of what a call to a bare HTTP server allocates. Its young generation has to be so
 * large that nothing is collected in between; the number is then nearly the same in each run.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Agent, createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {createTestConfig, sendCall, startTestMesh} from '../../platform/test-mesh.js';

/** Calls before the measurement, so that nothing is created for the first time in it. */
const warmUpCount = 200;
const measuredCount = 400;

declare const gc: () => void;

/** Returns the bytes that one call allocates in this process. */
async function measureCall(call: () => Promise<{readonly status: number}>): Promise<number> {
	const callRepeatedly = async (count: number): Promise<void> => {
		for (let made = 0; made < count; made++) {
			const {status} = await call();
			if (status !== 200) {
				throw new Error(`a call failed with status ${status}`);
			}
		}
	};

	await callRepeatedly(warmUpCount);
	gc();
	const before = process.memoryUsage().heapUsed;
	await callRepeatedly(measuredCount);
	return (process.memoryUsage().heapUsed - before) / measuredCount;
}

const agent = new Agent({keepAlive: true});
const bareServer = createServer((request, response) => {
	request.resume();
	response.end(Buffer.from('page'));
});
await new Promise<void>(resolve => {
	bareServer.listen(0, '127.0.0.1', resolve);
});
const bareAddress = `127.0.0.1:${(bareServer.address() as AddressInfo).port}`;
const bareBytes = await measureCall(async () => sendCall(bareAddress, '/logs/0', {agent}));
bareServer.close();
bareServer.closeAllConnections();

const mesh = await startTestMesh(['hall', 'logview', 'logview', 'logview'], createTestConfig(7, [{prefix: '/logs/', service: 'logview'}]));
for (const {server} of mesh.nodes) {
	server.setWorkMs(0);
}

const meshBytes = await measureCall(async () => mesh.nodes[0]!.call('/logs/0', {agent}));
agent.destroy();
await mesh.dispose();
console.log(JSON.stringify({bareBytes: Math.round(bareBytes), meshBytes: Math.round(meshBytes), factor: Number((meshBytes / bareBytes).toFixed(2))}));
