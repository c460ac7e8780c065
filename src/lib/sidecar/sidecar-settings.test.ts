import assert from 'node:assert/strict';
import test from 'node:test';
import {parseSidecarSettings} from './sidecar-settings.js';

const good = {
	node: 'n1',
	failureDomain: 'a',
	service: 'logview',
	listen: {
		callers: '10.0.0.1:1', gate: '10.0.0.1:2', gossip: '10.0.0.1:3', readiness: '10.0.0.1:4', announcements: '10.0.0.1:5', metrics: '10.0.0.1:6',
	},
	storeAddress: '10.0.0.9:1',
	linkMbps: 10,
	seeds: [],
	retries: {ratio: 0.2, slack: 62, window: '10s'},
	shutdown: '6s',
};

test('settings are parsed, with durations in milliseconds', () => {
	const settings = parseSidecarSettings(good)._unsafeUnwrap();
	assert.equal(settings.retries.windowMs, 10_000);
	assert.equal(settings.shutdownMs, 6000);
	assert.equal(settings.rollouts, undefined);
	assert.deepEqual(parseSidecarSettings({...good, rollouts: {maxExposure: 0.1}})._unsafeUnwrap().rollouts, {maxExposure: 0.1});
});

const bad: ReadonlyArray<readonly [string, unknown, RegExp]> = [
	['an address', {...good, listen: {...good.listen, gate: 'gate:2'}}, /listen\.gate: found "gate:2", must be an IP address and a port/],
	['an empty string', {...good, service: ''}, /service: found "", must be a non-empty string/],
	['a duration', {...good, shutdown: 6}, /shutdown: found 6, must be a duration/],
	['a number', {...good, retries: {...good.retries, slack: -1}}, /retries\.slack: found -1, must be a non-negative number/],
	['a missing number', {...good, linkMbps: undefined}, /linkMbps: found nothing, must be a non-negative number/],
	['a section', {...good, retries: undefined}, /retries: must be an object/],
	['seeds', {...good, seeds: ['x']}, /seeds: must be a list of IP addresses with ports/],
	['a seed without a port', {...good, seeds: ['127.0.0.1:0']}, /seeds: must be a list of IP addresses with ports/],
	['a share', {...good, rollouts: {maxExposure: 1.5}}, /rollouts\.maxExposure: found 1\.5, must be a share of 0 to 1/],
	['a missing share', {...good, rollouts: {}}, /rollouts\.maxExposure: found nothing, must be a non-negative number/],
	['the memory of the machine', {...good, memoryMb: 20}, /memoryMb: found 20, must be a number of at least 128/],
	['the descriptors of the machine', {...good, maxFds: 'many'}, /maxFds: found "many", must be a number of at least 256/],
	['a file without settings', undefined, /settings: must be an object/],
];

for (const [what, settings, message] of bad) {
	test(`an error about ${what} names the field, its value and the expected form`, () => {
		assert.match(parseSidecarSettings(settings)._unsafeUnwrapErr(), message);
	});
}
