import assert from 'node:assert/strict';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startEndlessServer} from '../../../stand-ins/endless-server.js';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {createGate, type Gate} from '../admission/gate.js';
import {
	toAddress, toBackendServerId, toNodeId, type CallId,
} from '../common/ids.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {createTimeline} from '../timeline/timeline.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {type Attempt} from './attempt.js';
import {createServerSender, type ServerSender} from './server-sender.js';

/** As many as the users' servers have. */
const slots = 13;
const deadlineMs = 500;

/** What a process of 350 MB can hold beside a node without load. */
const maxPeakBytes = 280_000_000;

async function startSender(context: TestContext, responseStart: string, repeated?: string): Promise<{readonly gate: Gate; readonly sender: ServerSender}> {
	const address = await startEndlessServer(context, () => responseStart, repeated);
	const gate = createGate(slots, {
		queuePerSlot: 2, maximumWaitMs: 500, targetWaitMs: 50, bulkShare: 0.5, announcementLifeMs: 6000,
	});
	const sender = createServerSender({
		id: toBackendServerId('s-1'), service: 'pages', address: toAddress(address), slots, connections: slots, startedAt: 1000, isDraining: false,
	}, gate, {
		quarantine: createSilentQuarantine(), maxLimitWaitMs: 100, timeline: createTimeline(toNodeId('n-1'), createLamportClock()), handleLeaving: () => undefined,
	});
	context.after(sender.dispose);
	return {gate, sender};
}

function createAttempt(call: string): Attempt {
	return {
		call: call as CallId, method: 'GET', path: '/', headers: {}, body: undefined, workClass: 'interactive', deadline: Date.now() + deadlineMs, signal: AbortSignal.timeout(deadlineMs),
		fingerprint: undefined, entry: 'n-1', limitPerSecond: undefined,
	};
}

/** Runs a function and returns the peak of the memory of buffers meanwhile. */
async function watchPeak(run: () => Promise<void>): Promise<number> {
	const before = process.memoryUsage().arrayBuffers;
	let peakBytes = 0;
	let isDone = false;
	const watch = async (): Promise<void> => {
		while (!isDone) {
			peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - before);
			await sleep(1);
		}
	};

	const watching = watch();
	try {
		await run();
	} finally {
		// Otherwise the process of a test that fails would go on measuring and never end.
		isDone = true;
	}

	await watching;
	return peakBytes;
}

// Bytes without end must not take the memory of the node, keep slots from other requests, or pass for a request that was not executed.
test('a head without end ends the requests: memory is bounded, the slots are free, and the requests may have run', {timeout: 20_000}, async context => {
	const {gate, sender} = await startSender(context, 'HTTP/1.1 200 OK\r\nx-field: ');
	const peakBytes = await watchPeak(async () => {
		const results = await Promise.all(Array.from({length: slots}, async (_, index) => sender.send(createAttempt(`c${index}`))));
		assert.deepEqual(results.map(result => result.type === 'failed' && result.verdict), Array.from({length: slots}, () => 'may-have-run'));
	});
	assert.ok(peakBytes <= maxPeakBytes, `${peakBytes} bytes`);
	assert.equal(gate.countRequests(), 0);
});

// A caller that does not read must not make the node read on for it.
test('a body without end is read no faster than the caller reads, and its slot is free at the deadline', {timeout: 20_000}, async context => {
	const {gate, sender} = await startSender(context, 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n');
	const peakBytes = await watchPeak(async () => {
		const results = await Promise.all(Array.from({length: slots}, async (_, index) => sender.send(createAttempt(`c${index}`))));
		for (const result of results) {
			assert.ok(result.type === 'answered');
			result.body.on('error', () => undefined);
		}

		await expectSoon('the slots are free', () => gate.countRequests() === 0);
	});
	assert.ok(peakBytes <= maxPeakBytes, `${peakBytes} bytes`);
});

test('a body that only the end of the connection would end is no response', {timeout: 20_000}, async context => {
	const {gate, sender} = await startSender(context, 'HTTP/1.1 200 OK\r\n\r\n');
	const result = await sender.send(createAttempt('c'));
	assert.deepEqual(result.type === 'failed' && [result.verdict, result.reason], ['may-have-run', 'wrong-answer']);
	await expectSoon('the slot is free', () => gate.countRequests() === 0);
});

/** What the heap of a node may take beside a node without load. */
const maxObjectBytes = 100_000_000;

// Guards against a server whose interim responses, or bytes that are no response, the node reads until it has no memory left.
for (const [place, repeated] of [['in interim responses', 'HTTP/1.1 102 Processing\r\n\r\n'], ['that are no response', '\u0000\r\n\r\n']] as const) {
	test(`parts without end ${place} end the requests: memory is bounded, and the requests may have run`, {timeout: 20_000}, async context => {
		const {gate, sender} = await startSender(context, '', repeated);
		const before = process.memoryUsage().heapUsed;
		const peakBytes = await watchPeak(async () => {
			const results = await Promise.all(Array.from({length: slots}, async (_, index) => sender.send(createAttempt(`c${index}`))));
			assert.deepEqual(results.map(result => result.type === 'failed' && result.verdict), Array.from({length: slots}, () => 'may-have-run'));
		});
		assert.ok(peakBytes <= maxPeakBytes, `${peakBytes} bytes`);
		assert.ok(process.memoryUsage().heapUsed - before <= maxObjectBytes);
		assert.equal(gate.countRequests(), 0);
	});
}

// Guards against a body whose bytes are few and whose parts are many, of which each takes an object of its own.
test('a body of tiny chunks without end is read no faster than the caller reads, and its slot is free at the deadline', {timeout: 20_000}, async context => {
	const {gate, sender} = await startSender(context, 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', '1\r\nx\r\n');
	const before = process.memoryUsage().heapUsed;
	let heapBytes = 0;
	const peakBytes = await watchPeak(async () => {
		const results = await Promise.all(Array.from({length: slots}, async (_, index) => sender.send(createAttempt(`c${index}`))));
		// On a busy machine the deadline of some may pass before their heads are read.
		for (const result of results) {
			if (result.type === 'answered') {
				result.body.on('error', () => undefined);
			} else {
				assert.equal(result.verdict, 'may-have-run');
			}
		}

		heapBytes = process.memoryUsage().heapUsed - before;
		await expectSoon('the slots are free', () => gate.countRequests() === 0);
	});
	assert.ok(peakBytes <= maxPeakBytes, `${peakBytes} bytes`);
	assert.ok(heapBytes <= maxObjectBytes, `${heapBytes} bytes`);
});
