import assert from 'node:assert/strict';
import test from 'node:test';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {unlimitedView} from '../server-notices/limit-view.js';
import {
	planAttempt, standardRules, type AttemptHistory, type AttemptPlan, type CallState,
} from './plan-attempt.js';
import {type Candidate} from './rank-servers.js';
import {countReservedSlots} from './reserved-slots.js';

const here = toFailureDomain('a');
const there = toFailureDomain('b');

function createServer(name: string, domain: Candidate['domain'], running: number, hasReports = true): Candidate {
	const view: Candidate['view'] = {
		running, waiting: 0, serviceMs: 100, slowness: hasReports ? 1 : undefined, failureShare: 0, ownInFlight: 0, ownInFlightAtReport: 0, roundTripMs: 0, reportedAt: 1000, ...unlimitedView,
	};
	return {
		id: toBackendServerId(name), lifetime: toLifetimeKey({id: toBackendServerId(name), startedAt: 1}), node: toNodeId(`n-${name}`), gate: toAddress('10.0.0.1:1'),
		domain, isLocal: false, slots: 6, isCold: false, view, reservedSlots: domain === here ? 0 : countReservedSlots(6, view),
	};
}

const call: CallState = {
	targetLatencyMs: 600, ageMs: 0, leftMs: 4000, isNestedCall: false, isBulk: false, priority: 0, isOverShare: false,
};
const nothingYet: AttemptHistory = {tried: new Set(), full: new Set(), refusals: 0};
const plan = (servers: readonly Candidate[], changes: Partial<CallState> = {}): AttemptPlan => planAttempt({...call, ...changes}, nothingYet, servers, {...standardRules, random: () => 0.5}, 1000);
const getTarget = (found: AttemptPlan): string => found.type === 'send' ? found.target.id : found.type;

test('a third of the slots is reserved where servers report their load, and none elsewhere', () => {
	assert.equal(countReservedSlots(6, {slowness: 1}), 2);
	assert.equal(countReservedSlots(2, {slowness: 1}), 0);
	assert.equal(countReservedSlots(6, {slowness: undefined}), 0);
});

test('a call leaves its full failure domain for a server with room', () => {
	assert.equal(getTarget(plan([createServer('near', here, 6), createServer('far', there, 3)])), 'far');
});

// Guards against a domain at its peak that fills the others, whose own requests then have to leave them.
test('a call waits in its own failure domain rather than take a reserved slot', () => {
	const found = plan([createServer('near', here, 6), createServer('far', there, 5)]);
	assert.equal(getTarget(found), 'near');
	assert.ok(found.type === 'send' && found.mayWaitMs > 0);
});

test('a call that cannot wait takes a reserved slot before it is refused', () => {
	assert.equal(getTarget(plan([createServer('near', here, 6), createServer('far', there, 5)], {ageMs: 700})), 'far');
	assert.equal(getTarget(plan([createServer('near', here, 6), createServer('far', there, 6)], {ageMs: 700})), 'refuse');
});

// Guards against a lost domain whose callers enter elsewhere: the other domains have to be filled completely.
test('without a server in the own failure domain, all slots of the others are used', () => {
	assert.equal(getTarget(plan([createServer('far', there, 5), createServer('full', there, 6)])), 'far');
	assert.equal(getTarget(plan([createServer('far', there, 5), createServer('full', there, 6)], {ageMs: 700})), 'far');
});

test('where servers report nothing, a free slot of another domain is taken as before', () => {
	assert.equal(getTarget(plan([createServer('near', here, 6, false), createServer('far', there, 5, false)])), 'far');
});
