import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'node:test';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {createCallScope} from './call-scope.js';
import {createFrameReader, writeFrame} from './frame.js';
import {createGateClient} from './gate-client.js';
import {encodePeerAnswer} from './peer-messages.js';

test('large answers use a separate connection, so that small ones do not queue behind them', async context => {
	const idsBySocket = new Map<Socket, string[]>();
	const server = createServer(socket => {
		const reader = createFrameReader();
		const ids: string[] = [];
		idsBySocket.set(socket, ids);
		socket.on('data', bytes => {
			for (const {id, head} of reader.read(bytes)) {
				ids.push((head as readonly string[])[0]!);
				writeFrame(socket, {
					type: 'answer', id, ...encodePeerAnswer({
						load: undefined, result: {
							type: 'answered', status: 200, headers: {}, body: new Uint8Array(),
						},
					}),
				});
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const client = createGateClient();
	context.after(() => {
		client.dispose();
		server.close();
	});
	const gate = toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	const send = async (id: string, isBulk: boolean): Promise<string> => {
		const scope = createCallScope(performance.now() + 2000);
		context.after(scope.dispose);
		const {result} = await client.send({
			id, server: toBackendServerId('i-1'), method: 'GET', target: '/', headers: {}, callerService: 'hall', rank: 1, mayWaitMs: 0, isCounted: false, gate, body: undefined, isBulk, scope,
		});
		return result.type;
	};

	assert.deepEqual(await Promise.all([send('large-1', true), send('small-1', false), send('large-2', true)]), ['answered', 'answered', 'answered']);
	assert.deepEqual([...idsBySocket.values()].map(ids => ids.toSorted().join(',')).toSorted(), ['large-1,large-2', 'small-1']);
});
