import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId} from '../common/ids.js';
import {createSilenceWatchers} from './silence-watchers.js';

test('only those who still wait for a silent node are told', () => {
	const watchers = createSilenceWatchers();
	const told: string[] = [];
	const watch = (name: string, node: string): (() => void) => watchers.watch(toNodeId(node), () => {
		told.push(name);
	});
	watch('first', 'n1');
	const takeBack = watch('answered', 'n1');
	watch('elsewhere', 'n2');
	takeBack();
	watchers.tell(node => node === toNodeId('n1'));
	assert.deepEqual(told, ['first']);
	watchers.forgetIdle();
	watchers.tell(() => true);
	assert.deepEqual(told, ['first', 'first', 'elsewhere']);
});

test('whoever listens is told when somebody begins to wait while nobody did', () => {
	const watchers = createSilenceWatchers();
	let firsts = 0;
	watchers.listenForFirst(() => {
		firsts++;
	});
	const takeBack = watchers.watch(toNodeId('n1'), () => undefined);
	const takeBackSecond = watchers.watch(toNodeId('n2'), () => undefined);
	assert.deepEqual([firsts, watchers.countWaiting()], [1, 2]);
	takeBack();
	takeBack();
	takeBackSecond();
	assert.equal(watchers.countWaiting(), 0);
	watchers.watch(toNodeId('n1'), () => undefined);
	assert.equal(firsts, 2);
});
