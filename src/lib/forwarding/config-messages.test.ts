import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {computeTextDelta} from '../route-config/text-delta.js';
import {
	decodeConfigAnswer, decodeConfigRequest, encodeConfigAnswer, encodeConfigRequest, type ConfigAnswer,
} from './config-messages.js';

const text = JSON.stringify({routes: Array.from({length: 2400}, (_, index) => ({name: `r-${(index * 7919).toString(36)}`, match: {prefix: `/p${index}/`}, timeout: '2500ms'}))});

const send = (answer: ConfigAnswer | undefined): ConfigAnswer | undefined => {
	const {head, body} = encodeConfigAnswer(answer);
	const sent = JSON.stringify(head);
	return decodeConfigAnswer(JSON.parse(sent) as unknown, body);
};

test('a configuration of many routes is transferred unchanged in less than a quarter of its size', () => {
	const answer: ConfigAnswer = {type: 'whole', text};
	assert.deepEqual(send(answer), answer);
	assert.ok(encodeConfigAnswer(answer).body.length < text.length / 4, `${encodeConfigAnswer(answer).body.length} of ${text.length}`);
});

test('steps, an empty answer and the version of a request are transferred unchanged', () => {
	const steps: ConfigAnswer = {type: 'steps', steps: [{from: 3, to: 5, delta: computeTextDelta('{a}{b}', '{a}{c}')}]};
	assert.deepEqual(send(steps), steps);
	assert.equal(send(undefined), undefined);
	assert.equal(decodeConfigRequest(encodeConfigRequest(7)), 7);
	assert.equal(decodeConfigRequest('7'), 0);
});

test('property: malformed bytes decode to no answer or to one of the announced type, and a truncated answer to none', () => {
	fc.assert(fc.property(fc.constantFrom('whole', 'steps', 'none', 'other'), fc.uint8Array({maxLength: 60}), (type, bytes) => {
		const answer = decodeConfigAnswer([type], bytes);
		assert.ok(answer === undefined || answer.type === type);
	}));
	const {body} = encodeConfigAnswer({type: 'whole', text});
	assert.equal(decodeConfigAnswer(['whole'], body.subarray(0, body.length / 2)), undefined);
});
