import assert from 'node:assert/strict';
import test from 'node:test';
import {checkLost, type LoadedDisturbance} from './check-lost.js';
import {type LoadedCall} from './loaded-callers.js';
import {type LoadedRun} from './loaded-run.js';

const stop = {node: 'n1', at: 10_000};

const call: LoadedCall = {
	id: 'c1', node: 'n1', target: '/swap/c1', timeLeftMs: 2000, sentAt: 11_000, endedAt: 11_500, status: 502, isSigned: false, text: '',
};

const run: LoadedRun = {
	id: 'c1', server: 'i1', node: 'n1', target: '/swap/c1', at: 11_010, leftMs: 980, endedAt: 11_600, status: 200,
	brokenOffAt: undefined, abandonedAt: undefined, answerFault: undefined, hasFailedCall: false,
};

/** A request at which its server broke off. */
const abandonedRun: LoadedRun = {
	...run, endedAt: undefined, status: undefined, abandonedAt: 11_400, brokenOffAt: 11_403,
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

// Guards against a judge that excuses more than the requests at which servers broke off.
test('a server that broke off before the end of a request excuses it, and nothing else', () => {
	assert.equal(checkLost([call], [abandonedRun], [stop]).length, 0);
	assert.equal(checkLost([{...call, endedAt: 11_390}], [abandonedRun], [stop]).length, 1);
	assert.equal(checkLost([call], [{...abandonedRun, id: 'c2'}, run], [stop]).length, 1);
	assert.equal(checkLost([call], [{...abandonedRun, abandonedAt: undefined}], [stop]).length, 1);
	assert.equal(checkLost([call], [abandonedRun, run], [stop]).length, 1);
	assert.equal(checkLost([call], [run, abandonedRun], [stop]).length, 1);
	assert.equal(checkLost([call], [{...abandonedRun, abandonedAt: undefined}, abandonedRun], [stop]).length, 1);
	assert.equal(checkLost([call], [abandonedRun, {...abandonedRun, abandonedAt: 11_450}], [stop]).length, 0);
});

const disturbance: LoadedDisturbance = {
	node: 'n1', type: 'held', from: 7500, to: 8000,
};

const countLostBeside = (changes: Partial<LoadedDisturbance>, runNode = 'n1'): number =>
	checkLost([call], [{...run, node: runNode}], [stop], [{...disturbance, ...changes}]).length;

// Guards against a judge that excuses what happens on other machines, or at other times.
test('an unplanned disturbance of the machine that took the request excuses it up to the contact window after it', () => {
	assert.equal(countLostBeside({}), 0);
	assert.equal(countLostBeside({to: 7990}), 1);
	assert.equal(countLostBeside({from: 11_501, to: 12_000}), 1);
	assert.equal(countLostBeside({from: 11_500, to: 12_000}), 0);
	assert.equal(countLostBeside({node: 'n2'}), 1);
});

// Guards against a judge that takes any disturbance beside the server for the end of its work.
test('of the machine beside the server, only a kill or a reset while the request is under way excuses a loss', () => {
	assert.equal(countLostBeside({
		node: 'n2', type: 'broken', from: 11_300, to: 11_600,
	}, 'n2'), 0);
	assert.equal(countLostBeside({
		node: 'n2', type: 'broken', from: 11_000, to: 11_300,
	}, 'n2'), 0);
	assert.equal(countLostBeside({
		node: 'n2', type: 'broken', from: 10_999, to: 11_300,
	}, 'n2'), 1);
	assert.equal(countLostBeside({
		node: 'n2', type: 'broken', from: 11_501, to: 11_900,
	}, 'n2'), 1);
	assert.equal(countLostBeside({node: 'n2', from: 11_300, to: 11_600}, 'n2'), 1);
	assert.equal(countLostBeside({
		node: 'n3', type: 'broken', from: 11_300, to: 11_600,
	}, 'n2'), 1);
});

// Guards against an excuse for requests that were passed on.
test('a request that was sent behind another one is excused only if it was not passed on', () => {
	assert.equal(countLost({status: 0, isBehind: true}, 'none'), 0);
	assert.equal(countLost({status: 0, isBehind: false}, 'none'), 1);
	assert.equal(countLost({status: 0, isBehind: true}), 1);
	assert.equal(countLost({status: 0, isBehind: true}, {endedAt: undefined, status: undefined, brokenOffAt: 11_490}), 1);
});

// Guards against a judge that takes a refused connection for a lost request, and against one that excuses any other end.
test('a request whose connection was refused was read by no process, and any other that is not passed on is lost', () => {
	const refused = {
		startedAt: 11_010, openAt: undefined, failure: 'ECONNREFUSED', endedAt: 11_400, isNew: true, passedBytes: 0, returnedBytes: 0,
	};
	const unanswered = {status: 0, endedAt: 11_400};
	assert.equal(countLost({...unanswered, connection: refused}, 'none'), 0);
	assert.equal(countLost({...unanswered, connection: {...refused, failure: 'ECONNRESET'}}, 'none'), 1);
	assert.equal(countLost({...unanswered, connection: {...refused, openAt: 11_012}}, 'none'), 1);
	assert.equal(countLost({...unanswered, connection: {...refused, passedBytes: 1}}, 'none'), 1);
	assert.equal(countLost({...unanswered, connection: refused}), 1);
	assert.equal(countLost(unanswered, 'none'), 1);
});
