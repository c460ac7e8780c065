import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createRequestOrder} from './request-order.js';

// Guards against a response that is dropped although its request was passed on: the response before it closed the connection.
test('a response closes its connection only if no request was admitted behind it', () => {
	const order = createRequestOrder();
	const [first, second] = [order.admit()!, order.admit()!];
	assert.equal(order.tryClose(first), false);
	assert.equal(order.tryClose(second), true);
	assert.equal(order.tryClose(first), false, 'the first one is still in work');
	assert.equal(order.admit(), undefined, 'what is read behind a response that closes is not handled');
});

test('nothing is admitted any more on a connection that is stopped, and its last request closes it', () => {
	const order = createRequestOrder();
	const last = order.admit()!;
	order.stop();
	assert.equal(order.admit(), undefined);
	assert.equal(order.tryClose(last), true);
});

// The seed is fixed, so that each run tests the same sequences.
test('in any sequence, each request is either answered before the connection closes or not handled', () => {
	fc.assert(fc.property(fc.array(fc.oneof(fc.constant('read' as const), fc.nat(5))), steps => {
		const order = createRequestOrder();
		const admitted: number[] = [];
		let closedAfter: number | undefined;
		for (const step of steps) {
			if (step === 'read') {
				const position = order.admit();
				admitted.push(...position === undefined ? [] : [position]);
				assert.equal(position === undefined, closedAfter !== undefined);
				continue;
			}

			const position = admitted[step];
			if (position !== undefined && order.tryClose(position)) {
				closedAfter = position;
			}
		}

		assert.ok(closedAfter === undefined || admitted.every(position => position <= closedAfter));
	}), {seed: 20_261});
});
