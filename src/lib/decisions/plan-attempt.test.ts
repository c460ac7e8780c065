import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {unlimitedView} from '../server-notices/limit-view.js';
import {type Candidate} from './rank-servers.js';
import {
	computeMaxWaitMs, planAttempt, standardRules, type AttemptHistory, type CallState, type PlanRules,
} from './plan-attempt.js';

function createServer(name: string, slots: number, view: Partial<Candidate['view']> = {}): Candidate {
	return {
		id: toBackendServerId(name), lifetime: toLifetimeKey({id: toBackendServerId(name), startedAt: 1}),
		node: toNodeId(`n-${name}`), gate: toAddress('10.0.0.1:1'), domain: toFailureDomain('a'), isLocal: false, slots, isCold: false,
		view: {
			running: 0, waiting: 0, serviceMs: 100, failureShare: 0, ownInFlight: 0, ownInFlightAtReport: 0, roundTripMs: 0, reportedAt: 1000, ...unlimitedView, ...view,
		},
	};
}

const call: CallState = {
	targetLatencyMs: 200, ageMs: 0, leftMs: 1200, isNestedCall: false, isBulk: false, priority: 0, isOverShare: false,
};
const rules: PlanRules = {...standardRules, random: () => 0.5};
const nothingYet: AttemptHistory = {tried: new Set(), full: new Set(), refusals: 0};
const full = {running: 10, waiting: 0} as const;

test('overload: a call waits only until a few slots are released, even if its deadline is far away', () => {
	const server = createServer('a', 10, full);
	assert.equal(computeMaxWaitMs(call, server), 30);
	assert.equal(computeMaxWaitMs({...call, leftMs: 60_000}, server), 30);
});

test('overload: a call that can no longer be answered in time does not wait', () => {
	assert.equal(computeMaxWaitMs({...call, ageMs: 80}, createServer('a', 10, full)), 0);
	const plan = planAttempt({...call, ageMs: 300}, nothingYet, [createServer('a', 10, full), createServer('b', 10, full)], rules, 1000);
	assert.equal(plan.type, 'refuse');
});

test('a late call gets a free slot', () => {
	const plan = planAttempt({...call, ageMs: 300}, nothingYet, [createServer('a', 10, full), createServer('b', 10)], rules, 1000);
	assert.equal(plan.type === 'send' ? plan.target.id : '', 'b');
});

test('a nested call is sent even if no free slot is known', () => {
	const plan = planAttempt({
		...call, isNestedCall: true, targetLatencyMs: 60, leftMs: 200,
	}, nothingYet, [createServer('a', 10, {running: 10, waiting: 60})], rules, 1000);
	assert.deepEqual(plan.type === 'send' ? plan.mayWaitMs : 0, 80);
});

test('a call with too little time left for a response is refused before it is sent', () => {
	assert.equal(planAttempt({...call, leftMs: 20}, nothingYet, [createServer('a', 10, full)], rules, 1000).type, 'too-late');
	assert.equal(planAttempt({...call, leftMs: 10}, nothingYet, [createServer('a', 10)], rules, 1000).type, 'too-late');
});

// Guards against an upload that takes its link, and a slot, although it cannot arrive before its deadline.
test('a call whose body cannot be sent to another VM in the time left goes to the own server, or is refused', () => {
	const upload: CallState = {...call, leftMs: 3000, bodyMs: 2990};
	assert.equal(planAttempt(upload, nothingYet, [createServer('a', 10), createServer('b', 10)], rules, 1000).type, 'too-late');
	const plan = planAttempt(upload, nothingYet, [createServer('a', 10), {...createServer('own', 10), isLocal: true}], rules, 1000);
	assert.equal(plan.type === 'send' ? plan.target.id : '', 'own');
	assert.equal(planAttempt({...upload, bodyMs: 2900}, nothingYet, [createServer('a', 10), createServer('b', 10)], rules, 1000).type, 'send');
});

test('a slow server with a free slot is tried again even if the time left is shorter than its service time', () => {
	assert.equal(planAttempt({...call, leftMs: 200}, nothingYet, [createServer('a', 10, {serviceMs: 60_000})], rules, 1000).type, 'send');
});

const views = fc.record({
	slots: fc.integer({min: 1, max: 64}), running: fc.integer({min: 0, max: 64}), waiting: fc.integer({min: 0, max: 64}), serviceMs: fc.integer({min: 2, max: 2000}),
});
const services = fc.array(views, {minLength: 1, maxLength: 200}).map(all => all.map(({slots, ...view}, index) => createServer(`s${index}`, slots, view)));
const calls = fc.record({
	targetLatencyMs: fc.integer({min: 5, max: 5000}), ageMs: fc.integer({min: 0, max: 5000}), leftMs: fc.integer({min: 1, max: 20_000}),
	isNestedCall: fc.constant(false), isBulk: fc.boolean(), priority: fc.integer({min: 0, max: 3}), isOverShare: fc.constant(false),
});

test('property: at any service, only calls that can be answered in time wait', () => {
	fc.assert(fc.property(services, calls, (servers, callState) => {
		const plan = planAttempt(callState, nothingYet, servers, rules, 1000);
		if (plan.type === 'send' && plan.mayWaitMs > 0) {
			assert.ok(callState.ageMs + plan.mayWaitMs + plan.target.view.serviceMs <= callState.targetLatencyMs);
		}
	}));
});

test('property: at any service, a call with enough time left is sent if a slot is free', () => {
	fc.assert(fc.property(services, calls, (servers, callState) => {
		const hasFree = servers.some(({slots, view}) => view.running + view.waiting < slots);
		const hasTime = callState.leftMs >= 15;
		fc.pre(hasFree && hasTime);
		assert.equal(planAttempt(callState, nothingYet, servers, rules, 1000).type, 'send');
	}));
});

test('property: a call that every gate would refuse is refused without asking one', () => {
	fc.assert(fc.property(services, calls, (servers, callState) => {
		const busy = servers.map(server => ({...server, view: {...server.view, running: server.slots, waiting: server.slots * 3}}));
		assert.notEqual(planAttempt(callState, nothingYet, busy, rules, 1000).type, 'send');
	}));
});

test('overload: less urgent calls are refused at once where all gates hold them back, more urgent ones are sent', () => {
	const servers = ['a', 'b'].map(name => createServer(name, 10, {...full, leastUrgent: 1, waitingByPriority: []}));
	assert.equal(planAttempt({...call, priority: 2}, nothingYet, servers, rules, 1000).type, 'hold-back');
	assert.equal(planAttempt({...call, priority: 1}, nothingYet, servers, rules, 1000).type, 'send');
	assert.equal(planAttempt({...call, priority: 2, isNestedCall: true}, nothingYet, servers, rules, 1000).type, 'send');
	const plan = planAttempt({...call, priority: 2}, nothingYet, [...servers, createServer('c', 10, full)], rules, 1000);
	assert.equal(plan.type === 'send' ? plan.target.id : '', 'c');
});

test('overload: a call that would be answered late is refused where calls that can be in time are refused', () => {
	const servers = ['a', 'b'].map(name => createServer(name, 10, {...full, leastUrgent: 1}));
	assert.equal(planAttempt({...call, ageMs: 300}, nothingYet, servers, rules, 1000).type, 'hold-back');
});

test('a call waits for a slot in which it can be answered in time rather than take a free one in which it is late', () => {
	const servers = [createServer('slow', 10, {serviceMs: 500}), createServer('fast', 10, full)];
	const plan = planAttempt(call, nothingYet, servers, rules, 1000);
	assert.equal(plan.type === 'send' ? plan.target.id : '', 'fast');
	const lateOnly = planAttempt({...call, ageMs: 150}, nothingYet, servers, rules, 1000);
	assert.equal(lateOnly.type === 'send' ? lateOnly.target.id : '', 'slow');
});

test('nodes with the same reports do not all send to the server with the shortest known wait', () => {
	const servers = [createServer('a', 10, full), createServer('b', 10, {...full, serviceMs: 90})];
	const targets = [0.1, 0.9, 0.9, 0.1].map((_, index, draws) => {
		let draw = index % 2;
		const plan = planAttempt(call, nothingYet, servers, {...rules, random: () => draws[draw++ % 2]!}, 1000);
		return plan.type === 'send' ? plan.target.id : '';
	});
	assert.deepEqual(new Set<string>(targets), new Set(['a', 'b']));
});
