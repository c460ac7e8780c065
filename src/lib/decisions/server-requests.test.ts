import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	createServerRequests, type LoadReport, type SentRequest, type ServerRequests,
} from './server-requests.js';

const thresholdMs = 400;

const createReport = (running: number): LoadReport => ({running, waiting: 0, slots: 6});

/** Sends a request and answers it 30 ms later, with a report of the requests at the server beside it. Returns the time after that. */
function runShort(requests: ServerRequests, now: number, othersAtServer: number, isOwnCounted = true): number {
	const request = requests.send(now);
	requests.recordResponse(request, createReport(othersAtServer + (isOwnCounted ? 1 : 0)), now + 30, 0);
	requests.finish(request, true);
	return now + 31;
}

function runMany(requests: ServerRequests, now: number, othersAtServer: number, until: number, isOwnCounted = true): number {
	let at = now;
	while (at < until) {
		at = runShort(requests, at, othersAtServer, isOwnCounted);
	}

	return at;
}

/** Shows whether the server counts the request that it answers. */
const runSole = (requests: ServerRequests, isOwnCounted = true): number => runMany(requests, 0, 0, 600, isOwnCounted);

// Guards against a server of which nothing is learnt, since a request that was given up still counts as running there.
test('whether the server counts the request it answers is learnt while other requests are under way', () => {
	const requests = createServerRequests();
	const other = requests.send(0);
	const now = runMany(requests, 0, 1, 600);
	requests.finish(other, true);
	requests.send(now);
	assert.equal(requests.findHung(thresholdMs, runMany(requests, now, 0, now + 500)).length, 1);
});

for (const isOwnCounted of [true, false]) {
	// Guards against breaking off the longest honest requests, of a route that is far slower than the others.
	test(`a slow request that the server reports is never hung, if the server ${isOwnCounted ? 'counts' : 'does not count'} the request it answers`, () => {
		const requests = createServerRequests();
		const start = runSole(requests, isOwnCounted);
		requests.send(start);
		const now = runMany(requests, start, 1, start + 5000, isOwnCounted);
		assert.deepEqual(requests.findHung(thresholdMs, now), []);
	});

	// Guards against a request that occupies its caller until its deadline, although the server has no such request.
	test(`a request that the reports lack is hung after the threshold, not before, if the server ${isOwnCounted ? 'counts' : 'does not count'} the request it answers`, () => {
		const requests = createServerRequests();
		const start = runSole(requests, isOwnCounted);
		const lost = requests.send(start);
		let now = runMany(requests, start, 0, start + 360, isOwnCounted);
		assert.deepEqual(requests.findHung(thresholdMs, now), []);
		now = runMany(requests, now, 0, start + 410, isOwnCounted);
		const [hang, ...others] = requests.findHung(thresholdMs, now);
		assert.deepEqual(others, []);
		assert.equal(hang?.request, lost);
		assert.equal(hang.kind, 'not-reported');
		assert.ok(hang.isServerIdle);
	});
}

// Guards against breaking off an honest request by a report that was made while the response to another one was on its way.
test('single reports that show too few requests are no evidence', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	requests.send(start);
	let now = start;
	for (let round = 0; round < 50; round++) {
		// The response of this request has left the server when it reports, and arrives later.
		const onItsWay = requests.send(now);
		now = runShort(requests, now, 1);
		requests.recordResponse(onItsWay, createReport(2), now, 0);
		requests.finish(onItsWay, true);
		assert.deepEqual(requests.findHung(thresholdMs, now), [], `round ${round}`);
	}
});

test('while the server has fewer missing requests than late ones, none of them is hung', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	const honest = requests.send(start);
	const lost = requests.send(start);
	const now = runMany(requests, start, 1, start + 1000);
	assert.deepEqual(requests.findHung(thresholdMs, now), []);
	requests.finish(honest, true);
	const later = runMany(requests, now, 0, now + 300);
	assert.deepEqual(requests.findHung(thresholdMs, later).map(({request}) => request), [lost]);
});

test('a request that the server was reported to have only for a time is hung once it no longer is', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	requests.send(start);
	const reportedUntil = runMany(requests, start, 1, start + 500);
	assert.equal(requests.findHung(thresholdMs, reportedUntil).length, 0);
	const now = runMany(requests, reportedUntil, 0, reportedUntil + 300);
	assert.equal(requests.findHung(thresholdMs, now).length, 1);
});

test('without a report since, a request is hung if one sent later was answered, and not if none was', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	requests.send(start);
	assert.deepEqual(requests.findHung(thresholdMs, start + 1000), []);
	const later = requests.send(start + 1);
	requests.recordResponse(later, undefined, start + 40, 0);
	requests.finish(later, true);
	const [hang] = requests.findHung(thresholdMs, start + 1000);
	assert.deepEqual([hang?.kind, hang?.isServerIdle], ['overtaken', false]);
});

// Guards against a request at work that counts as overtaken by a quick response whose report shows it, because that report was read soon.
test('a response to a request sent later is no evidence if its load report is too early to be any', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	requests.send(start);
	const later = requests.send(start + 5);
	requests.recordResponse(later, createReport(2), start + 15, 0);
	requests.finish(later, true);
	assert.deepEqual(requests.findHung(thresholdMs, start + 1000), []);
});

test('a request whose response has begun to arrive is not hung', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	const download = requests.send(start);
	requests.recordResponse(download, undefined, start + 10, 0);
	const now = runMany(requests, start, 0, start + 1000);
	assert.deepEqual(requests.findHung(thresholdMs, now), []);
	assert.equal(requests.computeNextCheck(thresholdMs, now, true), undefined);
});

test('a hang tells how many requests that were in flight when it was sent have been answered, without those given up', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	const ahead = Array.from({length: 5}, () => requests.send(start));
	requests.send(start);
	requests.finish(ahead[0]!, false);
	for (const request of ahead.slice(1, 4)) {
		requests.recordResponse(request, createReport(2), start + 30, 0);
		requests.finish(request, true);
	}

	requests.recordResponse(ahead[4]!, createReport(1), start + 60, 0);
	const now = runMany(requests, start + 60, 0, start + 600);
	const [hang] = requests.findHung(thresholdMs, now);
	assert.equal(hang?.answeredAhead, 3);
});

test('requests at the server that the gate does not know are bounded from both sides', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	requests.send(start);
	const answered = requests.send(start);
	requests.send(start + 25);
	// The request sent last may not have arrived yet: the server has one or two requests that the gate does not know.
	assert.deepEqual(requests.recordResponse(answered, createReport(4), start + 30, 0), {maxUnknown: 2, minUnknown: 1});
});

// Guards against held slots that are released while their server works on them, because a lost request counts as one of those that it reports.
test('a lost request that waits for its deadline is none of the requests that the server reports', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	requests.send(start);
	const now = runMany(requests, start + 40, 0, start + thresholdMs + 50);
	assert.equal(requests.findHung(thresholdMs, now).length, 1);
	const held = [requests.send(now), requests.send(now)];
	for (const request of held) {
		requests.finish(request, false);
	}

	const answered = requests.send(now + 30);
	assert.equal(requests.recordResponse(answered, createReport(3), now + 60, 2)?.maxUnknown, 2);
});

// Guards against a request that keeps its caller until the deadline, because it was to be looked at only after the next response, and none follows.
test('with three of four slots lost, each request is looked at when it has taken too long, also without a response since', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	const first = requests.send(start);
	const second = requests.send(start + 60);
	const third = requests.send(start + 90);
	runMany(requests, start + 120, 0, start + 250);
	assert.equal(requests.computeNextCheck(thresholdMs, start + 250, false), start + thresholdMs);
	const [hang] = requests.findHung(thresholdMs, start + thresholdMs + 1);
	assert.equal(hang?.request, first);
	assert.equal(requests.computeNextCheck(thresholdMs, start + thresholdMs + 1, false), start + 60 + thresholdMs);
	requests.finish(first, false);
	assert.deepEqual(requests.findHung(thresholdMs, start + thresholdMs + 61).map(({request}) => request), [second], 'the first is still reported as hung, or the second is not');
	// The second stays in flight, as a request that must not run twice does.
	assert.equal(requests.computeNextCheck(thresholdMs, start + thresholdMs + 61, false), start + 90 + thresholdMs);
	assert.deepEqual(requests.findHung(thresholdMs, start + thresholdMs + 91).map(({request}) => request), [third]);
	assert.equal(requests.computeNextCheck(thresholdMs, start + thresholdMs + 91, true), undefined);
});

// Guards against evidence that waits for the next request to take too long.
test('a response is looked at soon while a request has taken too long, and the next one is not due yet', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	requests.send(start);
	const now = start + thresholdMs + 50;
	requests.send(now - 10);
	assert.equal(requests.computeNextCheck(thresholdMs, now, false), now - 10 + thresholdMs);
	assert.ok(requests.computeNextCheck(thresholdMs, now, true)! < now + 50);
});

/** Times in milliseconds after a request was sent: when the other request was sent, and when the report in its response was read. */
const olderReports = [
	{otherSentAt: -40, readAt: 19},
	{otherSentAt: -40, readAt: 21},
	{otherSentAt: -40, readAt: 100},
	{otherSentAt: -300, readAt: 380},
	{otherSentAt: 0, readAt: 200},
	{otherSentAt: 10, readAt: 200},
	{otherSentAt: 19, readAt: 390},
] as const;

for (const {otherSentAt, readAt} of olderReports) {
	// Guards against a report that was written before a request arrived, and read late, as evidence that the server lost the request.
	test(`a report read ${readAt} ms after a request, in the response to one sent ${Math.abs(otherSentAt)} ms ${otherSentAt < 0 ? 'before' : 'after'} it, is no evidence`, () => {
		const requests = createServerRequests();
		const sentAt = runSole(requests) + 400;
		const before = otherSentAt < 0 ? requests.send(sentAt + otherSentAt) : undefined;
		requests.send(sentAt);
		const other = before ?? requests.send(sentAt + otherSentAt);
		requests.recordResponse(other, createReport(1), sentAt + readAt, 0);
		requests.finish(other, true);
		assert.deepEqual(requests.findHung(thresholdMs, sentAt + thresholdMs + 50), []);
	});
}

// Guards against many older reports as evidence, where a single one is none.
test('many reports in the responses to requests that were sent before another one are no evidence', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	const others = Array.from({length: 20}, () => requests.send(start));
	requests.send(start + 1);
	for (const other of others) {
		requests.recordResponse(other, createReport(1), start + 200, 0);
		requests.finish(other, true);
	}

	assert.deepEqual(requests.findHung(thresholdMs, start + 1000), []);
});

// Guards against a report that shows a request, and says nothing about its arrival, being passed over.
test('a newer report with the request outweighs older ones that lack it, whichever requests they answer', () => {
	const requests = createServerRequests();
	const start = runSole(requests);
	const early = requests.send(start);
	requests.send(start);
	const now = runMany(requests, start + 40, 0, start + 350);
	requests.recordResponse(early, createReport(2), now, 0);
	requests.finish(early, true);
	assert.deepEqual(requests.findHung(thresholdMs, start + thresholdMs + 50), []);
});

/** Delays of a request in milliseconds: after the one before it, of its arrival, of its work, of its response. A server or a gate that stands still delays the arrival and the response. */
type Delays = {readonly pauseMs: number; readonly arrivalMs: number; readonly workMs: number; readonly responseMs: number};

/** A request at a simulated server, with the times in milliseconds at which it is sent, arrives, is done and has its response read. */
type SimulatedRequest = {readonly sentAt: number; readonly arrivesAt: number; readonly doneAt: number; readonly readAt: number};

const delaysArbitrary = fc.record({
	pauseMs: fc.oneof(fc.integer({min: 0, max: 60}), fc.integer({min: 0, max: 500})),
	arrivalMs: fc.oneof(fc.integer({min: 0, max: 2}), fc.integer({min: 0, max: 200})),
	workMs: fc.oneof(fc.integer({min: 5, max: 30}), fc.integer({min: 400, max: 1500})),
	responseMs: fc.oneof(fc.integer({min: 0, max: 2}), fc.integer({min: 0, max: 300})),
});

/** The server reads requests in the order in which they were sent, each before any that is sent 20 ms later. */
function scheduleRequests(delays: readonly Delays[], startAt: number): readonly SimulatedRequest[] {
	const simulated: SimulatedRequest[] = [];
	let sentAt = startAt;
	let lastArrivesAt = startAt;
	for (const {pauseMs, arrivalMs, workMs, responseMs} of delays) {
		sentAt += pauseMs;
		lastArrivesAt = Math.max(lastArrivesAt, sentAt + arrivalMs);
		const doneAt = lastArrivesAt + workMs;
		simulated.push({
			sentAt, arrivesAt: lastArrivesAt, doneAt, readAt: doneAt + responseMs,
		});
	}

	return simulated;
}

// Guards against any delays by which the server counts as idle while it works on a request, or has not read it yet.
test('property: however late requests arrive and reports are read, a server never counts as idle while it works on a request', () => {
	fc.assert(fc.property(fc.array(delaysArbitrary, {minLength: 2, maxLength: 25}), delays => {
		const requests = createServerRequests();
		const simulated = scheduleRequests(delays, runSole(requests) + 100);
		const sent = new Map<SimulatedRequest, SentRequest>();
		const steps = simulated.flatMap(request => [{at: request.sentAt, request, isRead: false}, {at: request.readAt, request, isRead: true}]);
		for (const {at, request, isRead} of steps.toSorted((one, other) => one.at - other.at)) {
			if (!isRead) {
				sent.set(request, requests.send(at));
				continue;
			}

			const running = simulated.filter(({arrivesAt, doneAt}) => arrivesAt <= request.doneAt && request.doneAt <= doneAt).length;
			requests.recordResponse(sent.get(request)!, createReport(running), at, 0);
			requests.finish(sent.get(request)!, true);
			const idle = new Set(requests.findHung(150, at + 20).filter(({isServerIdle}) => isServerIdle).map(hang => hang.request));
			assert.deepEqual(simulated.filter(one => idle.has(sent.get(one)!) && one.doneAt > at), []);
		}
	}), {numRuns: 2000});
});
