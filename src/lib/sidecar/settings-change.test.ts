import assert from 'node:assert/strict';
import test from 'node:test';
import {toAddress, toFailureDomain, toNodeId} from '../common/ids.js';
import {listChangesNeedingRestart, mergeSettings} from './settings-change.js';
import {type SidecarSettings} from './sidecar-settings.js';

const address = toAddress('127.0.0.1:7001');
const settings: SidecarSettings = {
	node: toNodeId('n1'), failureDomain: toFailureDomain('a'), service: 'logview', storeAddress: address, linkMbps: 10, seeds: [], drainMs: 2500, shutdownMs: 6000,
	listen: {
		callers: address, gate: address, gossip: address, readiness: address, announcements: address, metrics: address,
	},
	retries: {ratio: 0.2, slack: 62, windowMs: 10_000},
};

test('retry limits, seeds and the shutdown time apply at run time; the service needs a restart', () => {
	const changed: SidecarSettings = {
		...settings, service: 'hall', seeds: [address], shutdownMs: 9000, retries: {...settings.retries, ratio: 0.1},
	};
	const merged = mergeSettings(settings, changed);
	assert.deepEqual(merged, {
		...settings, seeds: [address], shutdownMs: 9000, retries: changed.retries,
	});
	assert.deepEqual(listChangesNeedingRestart(merged, changed), ['service']);
	assert.deepEqual(listChangesNeedingRestart(merged, {...settings, seeds: []}), []);
});
