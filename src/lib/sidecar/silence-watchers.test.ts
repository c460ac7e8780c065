import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId} from '../common/ids.js';
import {createSilenceWatchers} from './silence-watchers.js';

test('only the remaining watchers of a silent node are notified', () => {
	const watchers = createSilenceWatchers();
	const notified: string[] = [];
	const watch = (name: string, node: string): (() => void) => watchers.watch(toNodeId(node), () => {
		notified.push(name);
	});
	watch('first', 'n1');
	const unwatch = watch('answered', 'n1');
	watch('elsewhere', 'n2');
	unwatch();
	watchers.notify(node => node === toNodeId('n1'));
	assert.deepEqual(notified, ['first']);
	watchers.removeUnwatchedNodes();
	watchers.notify(() => true);
	assert.deepEqual(notified, ['first', 'first', 'elsewhere']);
});

test('the callback for the first watcher runs whenever a watcher is registered while there are none', () => {
	const watchers = createSilenceWatchers();
	let firstWatcherCount = 0;
	watchers.listenForFirstWatcher(() => {
		firstWatcherCount++;
	});
	const unwatch = watchers.watch(toNodeId('n1'), () => undefined);
	const unwatchSecond = watchers.watch(toNodeId('n2'), () => undefined);
	assert.deepEqual([firstWatcherCount, watchers.countWatchers()], [1, 2]);
	unwatch();
	unwatch();
	unwatchSecond();
	assert.equal(watchers.countWatchers(), 0);
	watchers.watch(toNodeId('n1'), () => undefined);
	assert.equal(firstWatcherCount, 2);
});
