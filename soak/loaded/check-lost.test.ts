import assert from 'node:assert/strict';
import test from 'node:test';
import {checkLost} from './check-lost.js';
import {type LoadedCall} from './loaded-callers.js';
import {type LoadedRun} from './loaded-server.js';

const stop = {node: 'n1', at: 10_000};

const call: LoadedCall = {
	id: 'c1', node: 'n1', target: '/swap/c1', timeLeftMs: 2000, sentAt: 11_000, endedAt: 11_500, status: 502, isSigned: false, text: '',
};

const run: LoadedRun = {
	id: 'c1', server: 'i1', node: 'n1', target: '/swap/c1', at: 11_010, leftMs: 980, endedAt: 11_600, status: 200, brokenOffAt: undefined, hasFailedCall: false,
};

const countLost = (callChanges: Partial<LoadedCall>, runChanges: Partial<LoadedRun> | 'none' = {}): number =>
	checkLost([{...call, ...callChanges}], runChanges === 'none' ? [] : [{...run, ...runChanges}], [stop]).length;

// Guards against a judge that takes the node's own answer, or none, for the server's.
test('a request that its server answered and whose caller got something else is lost', () => {
	assert.equal(countLost({}), 1);
	assert.equal(countLost({status: 0}), 1);
	assert.equal(countLost({status: 200, isSigned: true}), 0);
	assert.equal(countLost({status: 500, isSigned: true}, {status: 500}), 0);
	assert.equal(countLost({}, {endedAt: undefined, status: undefined, brokenOffAt: 11_490}), 1);
});

// Guards against excuses that the rule does not know, such as an end shortly before the time is over.
test('only the time of the request, the end of the grace period and another time than around a stop excuse a loss', () => {
	assert.equal(countLost({endedAt: 11_990}), 1);
	assert.equal(countLost({endedAt: 12_000}), 0);
	assert.equal(countLost({sentAt: 13_000, endedAt: 15_100}, {endedAt: 15_050}), 0);
	assert.equal(countLost({sentAt: 14_500, endedAt: 15_100}, {endedAt: 15_050}), 1);
	assert.equal(countLost({sentAt: 14_500, endedAt: 15_100}, {endedAt: 14_990}), 1);
	assert.equal(countLost({sentAt: 17_100, endedAt: 17_200}), 0);
	assert.equal(countLost({sentAt: 9000, endedAt: 9900}), 0);
	assert.equal(countLost({node: 'n2'}), 0);
});

// Guards against a judge that sees only what servers ran.
test('a request that was not passed on is lost if its connection ends late', () => {
	assert.equal(countLost({status: 0}, 'none'), 1);
	assert.equal(countLost({status: 0, endedAt: 11_150}, 'none'), 0);
	assert.equal(countLost({status: 503}, 'none'), 0);
});
