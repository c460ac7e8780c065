/**
 * Gives each check a record with one violation, which it has to report, and
 * records without a violation, for which it has to report nothing.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {
	type CallRecord, type Disturbance, type Lifetime, type RunRecord, type SoakRecord,
} from '../record.js';
import {getKeyWorkspace, keys, steadyRoutes} from '../soak-config.js';
import {findViolations} from './find-violations.js';

const [logs, , publish] = steadyRoutes;

/** Unix milliseconds of the first request. */
const start = 100_000;

function createCall(changes: Partial<CallRecord> = {}): CallRecord {
	const id = changes.id ?? 'n0-1';
	const target = changes.target ?? `/logs/${id}`;
	const body = changes.body ?? '';
	const text = `page ${target} ${body}`;
	return {
		id, node: 'n0', route: logs!, method: 'GET', target, key: keys.steady[0], body, timeLeftMs: 1500, sentAt: start, endedAt: start + 30, status: 200,
		text, signature: `sig.${id}.${text.length}`, echoedId: id, namesLimit: false, saysLeaving: false, hasLeft: false, ...changes,
	};
}

const createPublication = (changes: Partial<CallRecord> = {}): CallRecord => createCall({
	route: publish!, method: 'POST', target: '/publish/n0-1', body: 'artifact', ...changes,
});

function createRun(call: CallRecord, changes: Partial<RunRecord> = {}): RunRecord {
	return {
		id: call.id, at: call.sentAt + 5, behaviour: 'answer', method: call.method, target: call.target, body: call.body, callerService: 'logview', leftMs: 1400, workspace: getKeyWorkspace(call.key, 0), hasCredentials: false,
		server: 'i-1@1', service: call.route === publish ? 'hall' : 'logview', node: 'n1', ...changes,
	};
}

function createRecord(calls: readonly CallRecord[], changes: Partial<SoakRecord> = {}): SoakRecord {
	return {
		calls, runs: calls.map(call => createRun(call)), drains: [], limits: [], hangs: [], lifetimes: [{node: 'n0', startedAt: 0, end: {type: 'running'}}],
		changes: [{index: 0, writtenAt: 0}], disturbances: [], ending: undefined, ...changes,
	};
}

function listBroken(record: SoakRecord): readonly string[] {
	return [...new Set(findViolations(record, {applyMs: 4000, getNodeService: () => 'logview'}).map(({promise}) => promise))];
}

const lost = {
	status: 0, text: '', signature: undefined, echoedId: undefined,
} as const;
const refused = {...lost, status: 503} as const;
const pausedNode: Disturbance = {
	part: 'node', node: 'n0', what: 'pause', isPlanned: false, from: start - 1000, to: start - 500,
};

/** Calls through one node to one server, one every 50 ms, of which each names the limit. */
const limitedCalls = Array.from({length: 100}, (_, index) => createCall({
	id: `n0-${index}`, sentAt: start + (index * 50), endedAt: start + (index * 50) + 30, namesLimit: true,
}));

test('reports more requests than a limit allows, unless the node restarted or the limit had ended', () => {
	const limit = {
		server: 'i-1@1', perSecond: 2, from: start, to: start + 10_000,
	};
	assert.deepEqual(listBroken(createRecord(limitedCalls, {limits: [limit]})), ['limits of servers']);
	assert.deepEqual(listBroken(createRecord(limitedCalls, {limits: [{...limit, perSecond: 20}]})), []);
	assert.deepEqual(listBroken(createRecord(limitedCalls, {limits: [{...limit, to: start + 2000}]})), []);
	assert.deepEqual(listBroken(createRecord(limitedCalls, {limits: [limit], disturbances: [{...pausedNode, from: start, to: start + 20_000}]})), []);
	// After a pause that ended, the node has passed the limit on again.
	assert.deepEqual(listBroken(createRecord(limitedCalls, {limits: [limit], disturbances: [{...pausedNode, from: start + 200, to: start + 400}]})), ['limits of servers']);
});

test('reports a request to a server that leaves, through a node that had passed this on', () => {
	const told = createCall({saysLeaving: true});
	const createLater = (afterMs: number, node = 'n0'): CallRecord => createCall({
		id: 'n0-2', node, sentAt: start + afterMs, endedAt: start + afterMs + 30,
	});
	assert.deepEqual(listBroken(createRecord([told, createLater(3000)])), ['a leaving server gets no new work']);
	assert.deepEqual(listBroken(createRecord([told, createLater(1500)])), []);
	assert.deepEqual(listBroken(createRecord([told, createLater(3000)], {disturbances: [{...pausedNode, from: start + 1000, to: start + 1200}]})), []);
	assert.deepEqual(listBroken(createRecord([told, createLater(3000, 'n1')])), []);
});

test('reports a hang that a gate caused, a connection that is used again, and a hang that lasts, unless its cause is another fault', () => {
	const request = createCall();
	const others = Array.from({length: 60}, (_, index) => createCall({id: `n0-${index + 10}`, sentAt: start + ((index - 50) * 20), endedAt: start + ((index - 50) * 20) + 30}));
	const hang = {
		at: start, id: request.id, isOwnFault: true, isConnectionHung: false, closedAt: start + 300, server: 'i-1@1', node: 'n1',
	};
	const listFound = (changes: Partial<typeof hang>, disturbances: readonly Disturbance[] = []): readonly string[] => listBroken(createRecord([...others, request], {hangs: [{...hang, ...changes}], disturbances}));
	assert.deepEqual(listFound({}), []);
	assert.deepEqual(listFound({isOwnFault: false}), ['no hang by a gate']);
	assert.deepEqual(listFound({isConnectionHung: true}), ['no hang by a gate']);
	assert.deepEqual(listFound({closedAt: start + 700}), ['hangs are over']);
	const lie: Disturbance = {
		...pausedNode, part: 'server', node: 'n1', what: 'server-lie',
	};
	assert.deepEqual(listFound({isOwnFault: false}, [lie]), []);
	assert.deepEqual(listFound({closedAt: start + 700}, [lie]), []);
});

test('reports nothing for a record without violations', () => {
	assert.deepEqual(listBroken(createRecord([createCall(), createPublication({id: 'n0-2', target: '/publish/n0-2'})])), []);
});

const flawed: ReadonlyArray<readonly [string, Partial<CallRecord>]> = [
	['the id of another request', {echoedId: 'n0-7'}], ['half of the body', {text: 'page /lo'}], ['no signature', {signature: undefined}], ['a status that the server did not send', {status: 502}],
];

for (const [name, changes] of flawed) {
	test(`reports a response with ${name}`, () => {
		assert.deepEqual(listBroken(createRecord([createCall(changes)])), ['whole answers']);
	});
}

test('reports a success that no backend server sent', () => {
	const call = createCall();
	assert.deepEqual(listBroken(createRecord([call], {runs: [createRun(call, {behaviour: 'truncate'})]})), ['whole answers']);
});

const changedRuns: ReadonlyArray<Partial<RunRecord>> = [{target: '/logs/2'}, {method: 'PUT'}, {body: 'other'}, {callerService: 'hall'}, {leftMs: 2500}, {leftMs: Number.NaN}, {service: 'hall'}];

for (const changes of changedRuns) {
	test(`reports an execution with a different ${Object.keys(changes).join(',')} (${Object.values(changes).join(',')})`, () => {
		const call = createCall();
		assert.ok(listBroken(createRecord([call], {runs: [createRun(call, changes)]})).includes('only what was sent'));
	});
}

test('reports an execution of a request that no caller sent, at the end of the soak', () => {
	const call = createCall();
	const ending = {lastFaultAt: 0, ready: new Map([['n0', true]])};
	assert.deepEqual(listBroken(createRecord([call], {runs: [createRun(call), createRun(call, {id: 'n0-9'})], ending})), ['only what was sent']);
});

test('reports an unsafe request that was executed twice, and a safe one that was executed more often than allowed', () => {
	const unsafe = createPublication();
	assert.deepEqual(listBroken(createRecord([unsafe], {runs: [createRun(unsafe), createRun(unsafe)]})), ['at most once']);
	const safe = createCall();
	assert.deepEqual(listBroken(createRecord([safe], {runs: [createRun(safe), createRun(safe)]})), []);
	assert.deepEqual(listBroken(createRecord([safe], {runs: [createRun(safe), createRun(safe), createRun(safe)]})), ['no more attempts than allowed']);
});

for (const status of [408, 421, 429, 503]) {
	test(`reports an unsafe request that got status ${status} and was executed, even if later`, () => {
		const call = createPublication({...refused, status});
		assert.deepEqual(listBroken(createRecord([call], {runs: [createRun(call, {at: call.endedAt + 3000})]})), ['not run can be trusted']);
		assert.deepEqual(listBroken(createRecord([call], {runs: []})), []);
	});
}

test('reports a request that arrives at a leaving server too long after the acknowledgement', () => {
	assert.deepEqual(listBroken(createRecord([createCall()], {drains: [{server: 'i-1@1', node: 'n1', ackedAt: start - 1500}]})), ['a leaving server gets no new work']);
	assert.deepEqual(listBroken(createRecord([createCall()], {drains: [{server: 'i-1@1', node: 'n1', ackedAt: start - 500}]})), []);
});

/** Requests on the route that the second configuration adds: one found the route, the later one did not. */
const since = {type: 'since', index: 1} as const;
const withSince = createCall({route: since, target: '/since-1/n0-1'});
const withoutSince = createCall({
	...lost, id: 'n0-2', route: since, target: '/since-1/n0-2', status: 404, sentAt: start + 100, endedAt: start + 130,
});
const changes = [{index: 0, writtenAt: 0}, {index: 1, writtenAt: start - 100}] as const;

test('reports a rollback within one lifetime of a process, but not across a restart', () => {
	const record = createRecord([withSince, withoutSince], {runs: [createRun(withSince)], changes});
	assert.deepEqual(listBroken(record), ['a version never falls']);
	const restarted: readonly Lifetime[] = [...record.lifetimes, {node: 'n0', startedAt: start + 50, end: {type: 'running'}}];
	assert.deepEqual(listBroken({...record, lifetimes: restarted}), []);
});

test('reports a configuration that is not in force in time at an undisturbed node', () => {
	const late = {...withoutSince, sentAt: start + 9000, endedAt: start + 9030};
	const record = createRecord([late], {runs: [], changes});
	assert.deepEqual(listBroken(record), ['in force in time']);
	assert.deepEqual(listBroken({...record, disturbances: [{...pausedNode, to: start + 1000}]}), []);
});

test('reports a request that got 404 though every configuration has its route, and one that was executed before any has', () => {
	assert.deepEqual(listBroken(createRecord([createCall({...lost, status: 404})], {runs: []})), ['handled by a configuration']);
	assert.ok(listBroken(createRecord([withSince])).includes('handled by a configuration'));
});

test('reports an executed request without a response, and during SIGTERM as a fault of the graceful stop', () => {
	const record = createRecord([createPublication(lost)]);
	assert.deepEqual(listBroken(record), ['what calm servers run is answered']);
	const stop: Disturbance = {...pausedNode, what: 'stop', isPlanned: true};
	assert.deepEqual(listBroken({...record, disturbances: [stop]}), ['a graceful stop cuts nothing']);
	assert.deepEqual(listBroken({...record, disturbances: [stop, pausedNode]}), []);
	assert.deepEqual(listBroken(createRecord([createPublication({...lost, hasLeft: true})])), []);
});

const stopped = {
	type: 'stopped', code: undefined, signal: 'SIGKILL', at: start, askedAt: start - 6000, wasHeld: false, wasReady: true,
} as const;
const ends: ReadonlyArray<readonly [Lifetime['end'], boolean]> = [
	[{
		type: 'unasked', code: 5, signal: undefined, at: start,
	}, true],
	[stopped, true],
	[{...stopped, wasHeld: true}, false],
	[{
		...stopped, signal: undefined, code: 5, wasHeld: true,
	}, true],
	[{...stopped, signal: 'SIGTERM'}, true],
	[{...stopped, signal: 'SIGTERM', wasReady: false}, false],
	[{
		...stopped, signal: undefined, code: 5, wasReady: false,
	}, true],
	[{...stopped, signal: undefined, code: 0}, false],
	[{type: 'killed', at: start}, false],
];

for (const [end, isBroken] of ends) {
	test(`a process that ended as ${JSON.stringify(end)} is ${isBroken ? 'reported' : 'accepted'}`, () => {
		assert.deepEqual(listBroken(createRecord([], {lifetimes: [{node: 'n0', startedAt: 0, end}]})), isBroken ? ['processes do not end by themselves'] : []);
	});
}

test('reports a node that does not recover: not ready, or ready with too few requests served', () => {
	const ending = {lastFaultAt: start - 20_000, ready: new Map([['n0', true]])};
	assert.deepEqual(listBroken(createRecord([createCall()], {ending})), []);
	assert.deepEqual(listBroken(createRecord([createCall()], {ending: {...ending, ready: new Map([['n0', false]])}})), ['the mesh recovers']);
	assert.deepEqual(listBroken(createRecord([createPublication(refused)], {runs: [], ending})), ['the mesh recovers']);
	assert.deepEqual(listBroken(createRecord([], {ending})), ['the mesh recovers']);
});

test('reports a run under a workspace that does not hold the key, a run without a valid key, and a server that saw credentials', () => {
	const call = createCall();
	const listForRun = (own: CallRecord, run: Partial<RunRecord>): readonly string[] => listBroken(createRecord([own], {runs: [createRun(own, run)]}));
	assert.deepEqual(listForRun(call, {}), []);
	assert.deepEqual(listForRun(call, {workspace: 'two'}), ['each request under its workspace']);
	assert.deepEqual(listForRun(call, {workspace: undefined}), ['each request under its workspace']);
	assert.deepEqual(listForRun(call, {hasCredentials: true}), ['servers see no key']);
	for (const key of [keys.unknown, undefined]) {
		assert.deepEqual(listForRun(createCall({key}), {workspace: undefined}), ['each request under its workspace']);
	}
});

test('reports a run with a key that was withdrawn or moved longer ago than a configuration may take, unless the node was disturbed', () => {
	const call = createCall({key: keys.changing});
	const listFor = (age: number, index: number, disturbances: readonly Disturbance[] = []): readonly string[] => listBroken(createRecord([call], {
		changes: [{index: 0, writtenAt: 0}, {index, writtenAt: call.sentAt - age}], disturbances,
	}));
	// The second configuration moves the key, the third withdraws it.
	for (const index of [1, 2]) {
		assert.deepEqual(listFor(5000, index), ['each request under its workspace']);
		assert.deepEqual(listFor(3000, index), []);
		assert.deepEqual(listFor(5000, index, [pausedNode]), []);
	}
});

test('reports a 401 for a key that every configuration holds that may be in force, and none for one that was withdrawn', () => {
	const listFor = (key: string | undefined, index: number, age: number): readonly string[] => {
		const call = createCall({...refused, status: 401, key});
		return listBroken(createRecord([call], {runs: [], changes: [{index: 0, writtenAt: 0}, {index, writtenAt: call.sentAt - age}]}));
	};

	assert.deepEqual(listFor(keys.steady[0], 1, 5000), ['a known key is accepted']);
	assert.deepEqual(listFor(keys.changing, 1, 1000), ['a known key is accepted']);
	assert.deepEqual(listFor(keys.changing, 2, 1000), []);
	assert.deepEqual(listFor(keys.unknown, 1, 1000), []);
	assert.deepEqual(listFor(undefined, 1, 1000), []);
});

test('reports a call of a server that a stopping node did not accept, unless the node was disturbed otherwise', () => {
	const call = createCall({...lost, isNested: true});
	const stopping: Disturbance = {
		part: 'node', node: 'n0', what: 'stop', isPlanned: true, from: start - 3000, to: start + 1000,
	};
	const listFor = (own: CallRecord, disturbances: readonly Disturbance[]): readonly string[] => listBroken(createRecord([own], {runs: [], disturbances}));
	assert.deepEqual(listFor(call, [stopping]), ['a stopping node serves the calls of its server']);
	assert.deepEqual(listFor(call, []), []);
	assert.deepEqual(listFor(call, [stopping, pausedNode]), []);
	assert.deepEqual(listFor({...call, isNested: false}, [stopping]), []);
	assert.deepEqual(listFor(createCall({...refused, isNested: true}), [stopping]), []);
});
