import assert from 'node:assert/strict';
import test from 'node:test';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {unknownStart, type ServerLifetime} from '../common/server-lifetime.js';
import {type ServerAnnouncement} from './local-server.js';
import {createStartTimeCheck} from './start-time-check.js';

const createLifetime = (startedAt: number): ServerLifetime => ({id: toBackendServerId('i-1'), startedAt});

const createAnnouncement = (startedAt: number): ServerAnnouncement => ({
	lifetime: createLifetime(startedAt), service: 'hall', version: 'v1', address: toAddress('10.0.0.1:80'), slots: 4, isDraining: false, coldMs: 0, sequence: 1,
});

const known = createAnnouncement(1000);
const unknown = createAnnouncement(unknownStart);

test('an announcement without a start time is accepted if no server announces one', () => {
	const {check} = createStartTimeCheck(() => [createLifetime(unknownStart), createLifetime(unknownStart)]);
	assert.ok(check(unknown, 0).isOk());
	assert.ok(check(unknown, 60_000).isOk());
});

test('an announcement without a start time is refused after one with a start time', () => {
	const {check} = createStartTimeCheck(() => []);
	assert.ok(check(known, 0).isOk());
	const refused = check(unknown, 1500);
	assert.equal(refused._unsafeUnwrapErr().cause, 'start');
	assert.match(refused._unsafeUnwrapErr().text, /^start: found nothing, must be/);
});

test('a node that has just started refuses an announcement without a start time if most servers beside other nodes announce one', () => {
	const {check} = createStartTimeCheck(() => [createLifetime(5), createLifetime(6), createLifetime(unknownStart)]);
	assert.equal(check(unknown, 0)._unsafeUnwrapErr().cause, 'start');
});

test('a single announcement with a start time has no lasting effect in a mesh whose servers announce none', () => {
	const {check} = createStartTimeCheck(() => [createLifetime(unknownStart), createLifetime(5), createLifetime(unknownStart)]);
	assert.ok(check(unknown, 0).isOk());
	check(known, 100);
	assert.ok(check(unknown, 1000).isErr());
	assert.ok(check(unknown, 10_200).isOk());
});

test('the check samples a bounded number of servers', () => {
	let looks = 0;
	function * listMany(): Generator<ServerLifetime> {
		for (;;) {
			looks++;
			yield createLifetime(5);
		}
	}

	assert.ok(createStartTimeCheck(listMany).check(unknown, 0).isErr());
	assert.ok(looks < 20);
});
