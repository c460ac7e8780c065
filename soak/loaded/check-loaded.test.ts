import assert from 'node:assert/strict';
import test from 'node:test';
import {checkLoaded, checkRepeatedRuns} from './check-loaded.js';
import {type LoadedCall} from './loaded-callers.js';
import {type LoadedRun} from './loaded-run.js';

const call: LoadedCall = {
	id: 'c1', node: 'n1', target: '/swap/c1', timeLeftMs: 2000, sentAt: 1000, endedAt: 1300, status: 200, isSigned: true, text: 'answer c1 300',
};

const run: LoadedRun = {
	id: 'c1', server: 'i1', node: 'n1', target: '/swap/c1', at: 1010, leftMs: 980, endedAt: 1290, status: 200,
	brokenOffAt: undefined, abandonedAt: undefined, answerFault: undefined, hasFailedCall: false,
};

const listPromises = (callChanges: Partial<LoadedCall>, runChanges: Partial<LoadedRun> = {}): readonly string[] =>
	checkLoaded([{...call, ...callChanges}], [{...run, ...runChanges}]).map(({promise}) => promise);

test('whole answers, failures of servers, and refusals of requests that did not run break no promise', () => {
	assert.deepEqual(listPromises({}), []);
	assert.deepEqual(listPromises({status: 500}, {status: 500}), []);
	assert.deepEqual(checkLoaded([{
		...call, status: 503, isSigned: false, text: '',
	}], []), []);
	assert.deepEqual(checkRepeatedRuns([run]), []);
});

// Guards against a check that lets an answer of the node itself pass, or one of another request.
test('an answer that is not the one of the server is a violation', () => {
	const promise = 'what a server answers reaches its caller';
	assert.deepEqual(listPromises({status: 502, isSigned: false, text: ''}), [promise]);
	assert.deepEqual(listPromises({status: 0, isSigned: false, text: ''}), [promise]);
	assert.deepEqual(listPromises({text: 'answer c2 300'}), [promise]);
	assert.deepEqual(listPromises({status: 503, isSigned: false, text: ''}), ['not run can be trusted']);
	assert.deepEqual(checkRepeatedRuns([run, run]).map(violation => violation.promise), ['at most once']);
});

// Guards against a check that takes the end of the time which a server was handed for the end of its caller's time.
test('a request that ends before its time is over, at the server or at the node, is a violation', () => {
	const promise = 'a server may work until the time of its caller is over';
	assert.deepEqual(listPromises({status: 504, endedAt: 1850}, {status: 504, endedAt: 1840, leftMs: 830}), [promise]);
	assert.deepEqual(listPromises({status: 504, endedAt: 1850, isSigned: false}, {status: undefined, endedAt: undefined, brokenOffAt: 1845}), [promise]);
	assert.deepEqual(listPromises({status: 504, endedAt: 1990}, {status: 504, endedAt: 1980}), []);
});

// Guards against a check that takes the execution which began last for the one that was answered: a safe request is tried elsewhere while the first server's node is silent.
test('an answer is judged by the execution that gave it, and an answer that no execution gave by the last one', () => {
	const superseded: LoadedRun = {
		...run, server: 'i2', at: 1150, endedAt: undefined, status: undefined, brokenOffAt: 1295,
	};
	const check = (changes: Partial<LoadedCall>, runs: readonly LoadedRun[]): readonly string[] =>
		checkLoaded([{...call, target: '/view/c1', ...changes}], runs).map(({promise}) => promise);
	assert.deepEqual(check({}, [run, superseded]), []);
	assert.deepEqual(check({text: 'answer c2 300'}, [run, superseded]), ['a server may work until the time of its caller is over']);
	assert.deepEqual(check({isSigned: false}, [run, superseded]), ['a server may work until the time of its caller is over']);
	assert.deepEqual(check({endedAt: 1289}, [run, superseded]), ['a server may work until the time of its caller is over']);
	assert.deepEqual(check({status: 502, isSigned: false, text: ''}, [run, superseded]), ['a server may work until the time of its caller is over']);
	assert.deepEqual(check({status: 503, isSigned: false, text: ''}, [run, superseded]), ['not run can be trusted']);
	assert.deepEqual(check({status: 504}, [{...run, status: 504}, superseded]), ['a server may work until the time of its caller is over']);
});

// Guards against an excuse that lets a broken answer look complete, or a wrong promise pass.
test('a server that broke off excuses that there is no answer, but neither a success nor a wrong promise', () => {
	const broken = {
		status: undefined, endedAt: undefined, abandonedAt: 1200, brokenOffAt: 1200,
	};
	assert.deepEqual(listPromises({status: 502, isSigned: false, text: ''}, broken), []);
	assert.deepEqual(listPromises({status: 0, isSigned: false, text: ''}, broken), []);
	assert.deepEqual(listPromises({status: 502, endedAt: 1190, isSigned: false}, broken), ['a server may work until the time of its caller is over']);
	assert.deepEqual(listPromises({text: 'answer c1'}, broken), ['a server may work until the time of its caller is over']);
	assert.deepEqual(listPromises({status: 503, isSigned: false, text: ''}, broken), ['not run can be trusted']);
});
