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

test('settings are read, times as numbers of milliseconds', () => {
	const settings = parseSidecarSettings(good)._unsafeUnwrap();
	assert.equal(settings.retries.windowMs, 10_000);
	assert.equal(settings.shutdownMs, 6000);
});

const bad: ReadonlyArray<readonly [string, unknown, RegExp]> = [
	['an address', {...good, listen: {...good.listen, gate: 'gate:2'}}, /listen\.gate: found "gate:2", must be an IP number and a port/],
	['a missing text', {...good, service: ''}, /service: found "", must be a text/],
	['a time', {...good, shutdown: 6}, /shutdown: found 6, must be a time/],
	['a number', {...good, retries: {...good.retries, slack: -1}}, /retries\.slack: found -1, must be a number that is not negative/],
	['a missing number', {...good, linkMbps: undefined}, /linkMbps: found nothing, must be a number that is not negative/],
	['a section', {...good, retries: undefined}, /retries: must be a map/],
	['seeds', {...good, seeds: ['x']}, /seeds: must be a list of IP numbers and ports/],
	['a seed without a port', {...good, seeds: ['127.0.0.1:0']}, /seeds: must be a list of IP numbers and ports/],
	['the whole', undefined, /settings: must be a map/],
];

for (const [what, settings, message] of bad) {
	test(`${what} that cannot be used is named, with what was found and what is allowed`, () => {
		assert.match(parseSidecarSettings(settings)._unsafeUnwrapErr(), message);
	});
}
