import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {toBackendServerId} from '../common/ids.js';
import {FieldError} from '../common/field-error.js';
import {createNotRun, type GateResult} from './forward-result.js';
import {
	decodePeerAnswer, decodePeerRequest, encodePeerAnswer, encodePeerRequest, type PeerRequest,
} from './peer-messages.js';

/** Fixed, so that each run checks the same cases. */
const seed = 20_260;

const request: PeerRequest = {
	id: 'c1', server: toBackendServerId('i-1'), method: 'POST', target: '/a?b', headers: {host: 'mesh.example', 'x-list': ['a', 'b'], __proto__x: '\u00E9'}, hasBody: true,
	callerService: 'hall', rank: 1.5, leftMs: 1200.5, mayWaitMs: 0, isCounted: false,
};

const sendHead = (head: unknown): unknown => {
	const text = JSON.stringify(head);
	return JSON.parse(text) as unknown;
};

const changeHead = (head: readonly unknown[], place: number, value: unknown): unknown => {
	const changed = [...sendHead(head) as unknown[]];
	changed[place] = value;
	return changed;
};

test('a request is decoded unchanged, and fields added by later versions are ignored', () => {
	assert.deepEqual(decodePeerRequest(sendHead(encodePeerRequest(request))), request);
	const limited: PeerRequest = {...request, limitPerSecond: 23.4};
	assert.deepEqual(decodePeerRequest(sendHead(encodePeerRequest(limited))), limited);
	const authenticated: PeerRequest = {...request, workspace: 'school 7'};
	assert.deepEqual(decodePeerRequest(sendHead(encodePeerRequest(authenticated))), authenticated);
	const both: PeerRequest = {...limited, workspace: 'school 7'};
	const redirected: PeerRequest = {...request, maxSlowness: 1.3};
	assert.deepEqual(decodePeerRequest(sendHead(encodePeerRequest(redirected))), redirected);
	const offered: PeerRequest = {...request, bodyMs: 3600};
	assert.deepEqual(decodePeerRequest(sendHead(encodePeerRequest(offered))), offered);
	const all: PeerRequest = {...both, maxSlowness: 1.3, bodyMs: 3600};
	assert.deepEqual(decodePeerRequest(sendHead(encodePeerRequest(both))), both);
	assert.deepEqual(decodePeerRequest(sendHead([...encodePeerRequest(all), 'more'])), all);
	assert.deepEqual(decodePeerRequest(sendHead([...encodePeerRequest(request), null, null, null, null, 'more'])), request);
});

const places: ReadonlyArray<readonly [number, string, readonly unknown[]]> = [
	[0, 'request.id', [null, 5, []]],
	[1, 'request.server', [null, 5, []]],
	[2, 'request.method', [null, 5, '']],
	[3, 'request.target', [null, 5, {}]],
	[4, 'request.headers', [null, 5, 'x', [], {'X-A': 'b'}, {'a b': 'c'}, {'': 'c'}, {'transfer-encoding': 'chunked'}, {connection: 'close'}]],
	[4, 'request.headers.x-a', [{'x-a': 5}, {'x-a': null}, {'x-a': {}}, {'x-a': [['b']]}, {'x-a': 'b\r\nc: d'}, {'x-a': ['b\u0000']}, {'x-a': '\u0100'}]],
	[5, 'request.hasBody', [null, true, 2, '1']],
	[6, 'request.callerService', [null, 5]],
	[7, 'request.rank', [null, '1', -1, 1e300]],
	[8, 'request.leftMs', [null, '1', -1, 1e300]],
	[9, 'request.mayWaitMs', [null, '1', -1, 1e300]],
	[12, 'request.limitPerSecond', ['1', -1, 1e300, true]],
	[14, 'request.maxSlowness', ['1', -1, 1e300, true]],
];

for (const [place, name, values] of places) {
	test(`a request with an invalid ${name} is rejected with the value found and the values allowed`, () => {
		for (const value of values) {
			assert.throws(() => decodePeerRequest(changeHead(encodePeerRequest(request), place, value)), (error: unknown) =>
				error instanceof FieldError && error.message.startsWith(`${name}: found `) && error.message.includes(', must be '), JSON.stringify(value));
		}
	});
}

test('a content length without a body is rejected', () => {
	const withLength = (length: string, hasBody: boolean) => sendHead(encodePeerRequest({...request, hasBody, headers: {'content-length': length}}));
	assert.equal(decodePeerRequest(withLength('5', true)).hasBody, true);
	assert.equal(decodePeerRequest(withLength('0', false)).hasBody, false);
	assert.throws(() => decodePeerRequest(withLength('5', false)), /request\.headers\.content-length: found "5", must be 0/);
});

const answered: GateResult = {
	load: {
		running: 3, waiting: 1, serviceMs: 80, tookMs: 12.5,
	},
	result: {
		type: 'answered', status: 200, headers: {'content-type': 'text/plain', 'set-cookie': ['a', 'b']}, body: Buffer.from('page'),
	},
};
const refused: GateResult = {load: undefined, result: createNotRun('full', 'no slot in time', 250)};

function send(result: GateResult, change: (head: readonly unknown[]) => unknown = head => head): GateResult {
	const {head, body = Buffer.alloc(0)} = encodePeerAnswer(result);
	return decodePeerAnswer(sendHead(change(head)), body);
}

const withSlowness: GateResult = {...answered, load: {...answered.load!, slowness: 2.25}};

test('answers are decoded unchanged', () => {
	for (const result of [answered, withSlowness, refused]) {
		assert.deepEqual(send(result), result);
	}
});

test('an answer that cannot be written to a caller unchanged is rejected as a wrong answer', () => {
	for (const [place, value] of [
		[2, 99],
		[2, 1000],
		[2, 200.5],
		[2, '200'],
		[2, null],
		[2, 1e300],
		[3, null],
		[3, []],
		[3, {'x-a': 5}],
		[3, {'x-a': 'b\r\nc: d'}],
		[3, {'transfer-encoding': 'chunked'}],
		[3, {'X-A': 'b'}],
	] as const) {
		const {result} = send(answered, head => changeHead(head, place, value));
		assert.deepEqual(result.type === 'failed' && [result.verdict, result.reason, result.hasArrived], ['may-have-run', 'wrong-answer', true], JSON.stringify([place, value]));
	}
});

test('the verdict not-run is accepted only if the rest of the message is well-formed', () => {
	for (const head of [['not-run'], ['not-run', 0], ['not-run', 0, 5, 0], ['not-run', 0, 'full'], ['not-run', 0, 'full', '0']]) {
		const {result} = decodePeerAnswer(head, Buffer.alloc(0));
		assert.deepEqual(result.type === 'failed' && [result.verdict, result.hasArrived], ['may-have-run', true], JSON.stringify(head));
	}

	// An unknown reason, from a later version, does not invalidate the verdict.
	const {result} = decodePeerAnswer(['not-run', 0, 'asleep', 0, 1e300, 'x'.repeat(9000)], Buffer.alloc(0));
	assert.deepEqual(result.type === 'failed' && [result.verdict, result.retryAfterMs, result.detail.length], ['not-run', 3_600_000, 300]);
});

test('the priorities that a gate accepts and that wait there are decoded unchanged, and ignored if they are malformed', () => {
	const load = {
		running: 3, waiting: 4, serviceMs: 80, tookMs: 12.5,
	};
	for (const priorities of [{leastUrgent: 1}, {waitingByPriority: [1, 3]}, {leastUrgent: 0, waitingByPriority: [4]}, {slowness: 2.25, leastUrgent: 1, waitingByPriority: [2, 2]}]) {
		assert.deepEqual(send({...answered, load: {...load, ...priorities}}).load, {...load, ...priorities});
	}

	assert.deepEqual(send(answered, head => changeHead(head, 1, [3, 4, 80, 12.5, 0, ['x', -9]])).load, load);
	assert.deepEqual(send(answered, head => changeHead(head, 1, [3, 4, 80, 12.5, 0, [1], 'a later field'])).load, {...load, leastUrgent: 1});
	assert.deepEqual(send({...refused, result: createNotRun('over-share', 'x', 500)}).result, createNotRun('over-share', 'x', 500));
});

test('a malformed load is ignored', () => {
	for (const load of [null, 5, [1, 2, 3], [1, 2, 3, -1], [1, 2, 3, '4'], [1, 2, 3, null]]) {
		assert.equal(send(answered, head => changeHead(head, 1, load)).load, undefined);
	}
});

test('a load with a malformed slowness, or with fields of a later release, is used without them', () => {
	for (const slowness of [null, 'slow', 0, -1, 1e9, undefined]) {
		assert.deepEqual(send(answered, head => changeHead(head, 1, [3, 1, 80, 12.5, slowness])), answered);
	}

	assert.deepEqual(send(answered, head => changeHead(head, 1, [3, 1, 80, 12.5, 2.25, {more: 1}])), withSlowness);
});

test('property: any head is decoded as a request or rejected, and no head is decoded as an answer with a stronger verdict than it states', () => {
	const anyHead = fc.oneof(fc.jsonValue(), fc.tuple(fc.nat(9), fc.jsonValue()).map(([place, value]) => changeHead(encodePeerRequest(request), place, value)));
	fc.assert(fc.property(anyHead, head => {
		try {
			const {rank, leftMs, mayWaitMs} = decodePeerRequest(head);
			assert.ok([rank, leftMs, mayWaitMs].every(amount => amount >= 0 && amount <= Number.MAX_SAFE_INTEGER));
		} catch (error) {
			assert.ok(error instanceof FieldError, String(error));
		}
	}), {seed, numRuns: 1000});
	fc.assert(fc.property(fc.oneof(fc.jsonValue(), fc.array(fc.oneof(fc.constantFrom('ran', 'not-run', 0, 1, 200), fc.jsonValue()), {maxLength: 7})), head => {
		const {result} = decodePeerAnswer(head, Buffer.alloc(0));
		const [said] = Array.isArray(head) ? head as unknown[] : [];
		assert.ok(result.type === 'answered' ? said === 'ran' : result.verdict === 'may-have-run' || said === 'not-run');
	}), {seed, numRuns: 1000});
});
