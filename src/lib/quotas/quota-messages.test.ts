import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toNodeId} from '../common/ids.js';
import {FieldError} from '../common/field-error.js';
import {
	decodeQuotaAnswer, decodeQuotaAsk, encodeQuotaAnswer, encodeQuotaAsk, type QuotaAsk,
} from './quota-messages.js';

const ask: QuotaAsk = {
	asker: toNodeId('n1'), nodes: 75, known: 70, stamp: {run: 'r', at: 12}, lent: [0, 7], released: [3], wants: [{workspace: 'acme', tokens: 12}],
};

const send = (head: unknown): unknown => structuredClone(head);

test('asks and answers are decoded as they were sent', () => {
	assert.deepEqual(decodeQuotaAsk(send(encodeQuotaAsk(ask))), ask);
	assert.equal(decodeQuotaAsk(send(encodeQuotaAsk({...ask, stamp: undefined}))).stamp, undefined);
	for (const retryMs of [undefined, 120]) {
		const answer = {
			stamp: {run: 'r', at: 13}, known: 75, isSettling: false, grants: [{tokens: 5, retryMs, isPlenty: true}],
		};
		assert.deepEqual(decodeQuotaAnswer(send(encodeQuotaAnswer(answer)), ask), answer);
	}
});

test('property: a malformed ask is refused with the field, and a malformed answer counts as none', () => {
	fc.assert(fc.property(fc.jsonValue(), value => {
		assert.throws(() => decodeQuotaAsk(value), FieldError);
		assert.equal(decodeQuotaAnswer(value, ask), undefined);
	}));
	const fields = encodeQuotaAsk(ask);
	for (const [index, wrong] of [[0, ''], [1, -1], [1, 1e9], [2, 'x'], [3, ['r', 1.5]], [3, 1], [4, [8]], [5, [-1]], [6, [['acme', -1]]], [6, [['acme', 1e9]]], [6, [[7, 1]]]] as const) {
		assert.throws(() => decodeQuotaAsk(fields.with(index, wrong)), FieldError);
	}
});

test('an answer that grants more than was asked for counts as none', () => {
	const answer = {stamp: {run: 'r', at: 13}, known: 75, isSettling: false};
	assert.equal(decodeQuotaAnswer(encodeQuotaAnswer({...answer, grants: [{tokens: 13, retryMs: 1, isPlenty: true}]}), ask), undefined);
	assert.equal(decodeQuotaAnswer(encodeQuotaAnswer({...answer, grants: []}), ask), undefined);
});
