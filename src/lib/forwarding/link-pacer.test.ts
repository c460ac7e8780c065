import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createLinkPacer} from './link-pacer.js';

test('property: bytes are written no faster than the link carries them, and the link is never idle', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1000}), fc.array(fc.integer({min: 1, max: 400}), {minLength: 20, maxLength: 100}), (linkMbps, smallBytes) => {
		const pacer = createLinkPacer(linkMbps);
		let now = 5000;
		let sent = 0;
		for (const bytes of smallBytes) {
			now += pacer.computeWaitMs(now);
			pacer.record(pacer.pieceBytes, now);
			pacer.record(bytes, now);
			sent += pacer.pieceBytes + bytes;
		}

		const carried = linkMbps * 1000 / 8 * (now - 5000);
		const queueMs = (sent - carried) / (linkMbps * 1000 / 8);
		assert.ok(queueMs <= 100, `${queueMs} ms of queueing delay on the link`);
		assert.ok(sent >= carried * 0.8, `${sent} bytes of ${carried}`);
	}));
});

test('an idle link does not allow a larger burst later', () => {
	const pacer = createLinkPacer(10);
	pacer.record(pacer.pieceBytes, 0);
	assert.equal(pacer.computeWaitMs(60_000), 0);
	for (let piece = 0; piece < 3; piece++) {
		pacer.record(pacer.pieceBytes, 60_000);
	}

	assert.ok(pacer.computeWaitMs(60_000) >= 35);
});
