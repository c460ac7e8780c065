import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import test from 'node:test';
import {waitUntil} from '../../stand-ins/wait-until.js';
import {type LoadedRun} from './loaded-run.js';
import {createServerAnswers} from './server-answers.js';
import {answerFaults} from './troubles/answer-faults.js';

/** What the server recorded, and the bytes that the caller got. */
type Outcome = {readonly run: LoadedRun; readonly bytes: string; readonly isHandled: boolean};

const timeoutMs = 10_000;

/** Lets a server answer one request with a fault, and waits for an outcome. */
async function answerOnce(fault: string, isExpected: (outcome: Outcome) => boolean): Promise<Outcome> {
	const run: LoadedRun = {
		id: 'c1', server: 'i1', node: 'n1', target: '/ledger/c1', at: 1, leftMs: 980, endedAt: undefined, status: undefined,
		brokenOffAt: undefined, abandonedAt: undefined, answerFault: undefined, hasFailedCall: false,
	};
	const {answer, answerEarly} = createServerAnswers({
		random: () => 0, answerFaultNames: new Set([fault]), describeLoad: () => '1,0,8', isLeaving: () => false, isCrashed: () => false,
	});
	let isHandled = false;
	const server = createServer((request, response) => {
		isHandled = true;
		if (!answerEarly(request, response, run)) {
			answer(response, run, 200);
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const socket = connect(port, '127.0.0.1');
	let bytes = '';
	socket.setEncoding('utf8');
	socket.on('data', (chunk: string) => {
		bytes += chunk;
	});
	socket.on('error', () => undefined);
	socket.write('POST /ledger/c1 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nxx');
	const isReached = await waitUntil(() => isExpected({run, bytes, isHandled}), timeoutMs, 1);
	assert.ok(isReached, fault);
	socket.destroy();
	server.closeAllConnections();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return {run, bytes, isHandled};
}

/** Names of the faults whose answers are whole, and of those after which the server gave the request up. */
const whole = ['stray', 'stray-next', 'copy-soon', 'copy-without-id', 'two-copies', 'unframed', 'early'];
const givenUp = ['cut', 'cut-reset', 'garbage', 'garbage-open', 'spoiled', 'unframed-reset', 'lost', 'lost-reset'];

// Guards against a record that excuses answers which the server sent, or that takes an answer which it did not send for one.
test('a server records of each fault whether its answer was whole, and whether it gave the request up', async () => {
	assert.deepEqual([...whole, ...givenUp, 'lost-silent'].toSorted(), Object.keys(answerFaults).toSorted());
	for (const fault of whole) {
		const {run} = await answerOnce(fault, ({bytes}) => bytes.includes('answer c1 0'));
		assert.equal(run.abandonedAt, undefined, fault);
		assert.equal(run.status, fault === 'early' ? 413 : 200, fault);
	}

	for (const fault of givenUp) {
		const {run} = await answerOnce(fault, outcome => outcome.run.abandonedAt !== undefined);
		assert.equal(run.status, undefined, fault);
	}

	const {run, bytes} = await answerOnce('lost-silent', ({isHandled}) => isHandled);
	assert.deepEqual([run.abandonedAt, run.status, bytes], [undefined, undefined, '']);
});
