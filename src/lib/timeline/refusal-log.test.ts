import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {type MeshEvent} from './mesh-log.js';
import {createRefusalLog, type Refusal} from './refusal-log.js';

const heartbeat: Refusal = {
	kind: 'heartbeat-refused', cause: 'unreadable', place: '10.0.0.9:1', reason: 'report: found nothing, must be a list',
};

/** Creates a refusal log. `takeLines` returns the lines written since its last call, each with its count. */
function startFixture(context: TestContext) {
	context.mock.timers.enable({apis: ['setTimeout']});
	const events: MeshEvent[] = [];
	const counted: string[] = [];
	const refusals = createRefusalLog({
		record(_level, event) {
			events.push(event);
		},
	}, (kind, cause) => {
		counted.push(`${kind} ${cause}`);
	});
	const takeLines = (): readonly string[] => events.splice(0).map(event => 'cause' in event ? `${event.kind} ${event.cause} ${event.count}` : event.kind);
	return {
		refusals, counted, events, takeLines, tick: context.mock.timers.tick.bind(context.mock.timers),
	};
}

test('the first refusal is logged immediately, further ones once per second with their count', context => {
	const {refusals, counted, takeLines, tick} = startFixture(context);
	for (let sent = 0; sent < 1000; sent++) {
		refusals.record(heartbeat);
	}

	assert.deepEqual(takeLines(), ['heartbeat-refused unreadable 1']);
	tick(1000);
	assert.deepEqual(takeLines(), ['heartbeat-refused unreadable 999']);
	refusals.record(heartbeat);
	tick(999);
	assert.deepEqual(takeLines(), []);
	tick(1);
	assert.deepEqual(takeLines(), ['heartbeat-refused unreadable 1']);
	tick(10_000);
	assert.deepEqual(takeLines(), []);
	refusals.record(heartbeat);
	assert.deepEqual(takeLines(), ['heartbeat-refused unreadable 1']);
	assert.equal(counted.length, 1002);
});

test('each kind and cause is logged separately, and dispose logs the refusals that were not logged yet', context => {
	const {refusals, counted, takeLines} = startFixture(context);
	refusals.record(heartbeat);
	refusals.record({...heartbeat, cause: 'flood'});
	refusals.record({...heartbeat, kind: 'peer-refused'});
	refusals.record(heartbeat);
	assert.deepEqual(takeLines(), ['heartbeat-refused unreadable 1', 'heartbeat-refused flood 1', 'peer-refused unreadable 1']);
	refusals.dispose();
	assert.deepEqual(takeLines(), ['heartbeat-refused unreadable 1']);
	assert.equal(counted.length, 4);
});

test('a line is short even if the place of the refused input is long', context => {
	const {refusals, events} = startFixture(context);
	refusals.record({...heartbeat, place: 'x'.repeat(60_000)});
	assert.ok(JSON.stringify(events[0]).length < 600);
});
