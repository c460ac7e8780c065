import assert from 'node:assert/strict';
import test from 'node:test';
import {createConfiguration, prepareDelta, type Delta} from '../configuration/configuration.js';
import {samplePool} from '../configuration/sample-items.js';
import {createConfigurationKeeper} from './configuration-keeper.js';

function createDeltas(count: number): readonly Delta[] {
	const deltas: Delta[] = [];
	let current = createConfiguration();
	for (let version = 1; version <= count; version++) {
		const {delta, next} = prepareDelta(current, [{type: 'put', item: {...samplePool, slowStartMs: version}}], []);
		deltas.push(delta);
		current = next;
	}

	return deltas;
}

test('deltas are applied up to the first gap, and the listener is called only for newer versions', () => {
	const versions: number[] = [];
	const keeper = createConfigurationKeeper(change => {
		versions.push(change.configuration.version);
	});
	const deltas = createDeltas(5);
	assert.equal(keeper.applyDeltas([deltas[0]!, deltas[1]!, deltas[3]!], 'n')._unsafeUnwrapErr().type, 'gap');
	keeper.applyDeltas(deltas.slice(0, 1), 'n');
	keeper.applyIfNewer(createConfiguration(), [], 'store');
	assert.equal(keeper.getConfiguration().version, 2);
	keeper.applyDeltas(deltas, 'n');
	assert.deepEqual(versions, [2, 5]);
});

test('the deltas after a version are listed, or undefined if they are no longer in the log', () => {
	const keeper = createConfigurationKeeper(() => undefined);
	const deltas = createDeltas(600);
	keeper.applyDeltas(deltas, 'n');
	assert.deepEqual(keeper.listDeltasAfter(598)?.map(delta => delta.version), [599, 600]);
	assert.deepEqual(keeper.listDeltasAfter(600), []);
	assert.equal(keeper.listDeltasAfter(10), undefined);
});
