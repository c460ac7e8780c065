import assert from 'node:assert/strict';
import test from 'node:test';
import {toCallId, toNodeId} from '../common/ids.js';
import {createLamportClock} from './lamport-clock.js';
import {formatEvent, sortEvents} from './timeline-event.js';
import {createTimeline} from './timeline.js';

test('causes precede their effects even if the clocks of the nodes differ', t => {
	t.mock.timers.enable({apis: ['Date'], now: 9_000_000});
	const clocks = [createLamportClock(), createLamportClock()] as const;
	const first = createTimeline(toNodeId('fast'), clocks[0]);
	const second = createTimeline(toNodeId('slow'), clocks[1]);
	first.record({kind: 'configuration-applied', version: 1, from: 'own'});
	t.mock.timers.setTime(1_000_000);
	clocks[1].witness(clocks[0].getTime());
	second.record({kind: 'configuration-applied', version: 1, from: 'fast'});
	const merged = sortEvents([...second.list(), ...first.list()]);
	assert.deepEqual(merged.map(event => event.node), ['fast', 'slow']);
	assert.ok((merged[0]?.at ?? 0) > (merged[1]?.at ?? 0));
	assert.match(formatEvent(merged[0]!), /configuration-applied\s+version=1 from=own/);
});

test('events of calls do not displace other events, and events can be filtered', () => {
	const timeline = createTimeline(toNodeId('n'), createLamportClock());
	timeline.record({kind: 'node-started'});
	for (let index = 0; index < 5000; index++) {
		timeline.record({
			kind: 'call-finished', call: toCallId(`c${index}`), route: 'r', status: 200, verdict: 'ran', version: 1, attempts: 1,
		});
	}

	assert.equal(timeline.list()[0]?.kind, 'node-started');
	assert.equal(timeline.list({call: 'c4999'}).length, 1);
	assert.equal(timeline.list({version: 2}).length, 0);
	assert.equal(timeline.list({}, 5000).length, 1);
});
