import assert from 'node:assert/strict';
import test from 'node:test';
import {type Policy} from '../configuration/item.js';
import {compilePolicy} from './compile-policy.js';
import {sampleRequests} from './request-attributes.js';

function createPolicy(decision: string, variables: Policy['variables'] = []): Policy {
	return {
		kind: 'policy', name: 'p', variables, decision,
	};
}

const get = sampleRequests[0]!;

function listMessages(policy: Policy): string {
	return compilePolicy(policy)._unsafeUnwrapErr().map(({field, message}) => `${field}: ${message}`).join('\n');
}

test('a program decides from the attributes of the request, with defaults for omitted fields', () => {
	const compiled = compilePolicy(createPolicy('is_read ? {"action": "forward", "isRepeatable": true} : {"action": "refuse", "status": 405}', [
		{name: 'is_read', expression: 'request.method == "GET"'},
	]))._unsafeUnwrap();
	assert.deepEqual(compiled.decide(get)._unsafeUnwrap(), {
		action: 'forward', timeoutMs: 10_000, attempts: 2, isRepeatable: true, workClass: 'interactive', onceKey: '',
	});
	const refused = compiled.decide({...get, method: 'POST'})._unsafeUnwrap();
	assert.equal(refused.action === 'refuse' ? refused.status : 0, 405);
});

test('a request is not repeatable by default', () => {
	const decision = compilePolicy(createPolicy('{"action": "forward"}'))._unsafeUnwrap().decide(get)._unsafeUnwrap();
	assert.equal(decision.action === 'forward' && decision.isRepeatable, false);
});

test('rejects a program that does not compile, fails on a sample request or returns no valid decision', () => {
	assert.match(listMessages(createPolicy('request.method ==')), /decision: .*end of input/);
	assert.match(listMessages(createPolicy('{"action": "forward", "timeoutMs": request.headers["x"]}')), /fails on the sample request GET/);
	assert.match(listMessages(createPolicy('{"action": "fly"}')), /not a decision/);
	assert.match(listMessages(createPolicy('unknown_name')), /fails on the sample request/);
	assert.match(listMessages(createPolicy('{"action": "forward"}', [{name: 'request', expression: '1'}])), /taken/);
});

test('limits the size of a program and the nesting of its loops', () => {
	const huge = Array.from({length: 300}, (_, index) => String(index)).join(' + ');
	assert.match(listMessages(createPolicy(`{"action": "forward", "timeoutMs": ${huge}}`)), /at most 400 are allowed/);
	assert.match(listMessages(createPolicy('[1, 2].all(x, [1, 2].all(y, x == y)) ? {"action": "forward"} : {"action": "refuse"}')), /inside another/);
});
