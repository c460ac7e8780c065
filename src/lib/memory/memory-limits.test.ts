import assert from 'node:assert/strict';
import test from 'node:test';
import {computeHeldLimits, defaultMachineLimits} from './memory-limits.js';

const mebibyte = 1024 * 1024;

// Guards against a bound that refuses a single body or answer of 64 MiB on the smallest machine.
test('the smallest machine holds a body of 64 MiB', () => {
	const {loneBufferBytes} = computeHeldLimits(defaultMachineLimits, 140 * mebibyte);
	assert.ok(loneBufferBytes >= 64 * mebibyte, `${loneBufferBytes}`);
});

// Guards against bounds that hold one by one and exceed the machine together.
test('the heap, all copies of what is held and the process itself fit the machine', () => {
	for (const [memoryMb, heapMb] of [[350, 140], [602, 140], [200, 76], [350, 4096]] as const) {
		const heapBytes = heapMb * mebibyte;
		const {bufferBytes, loneBufferBytes, requestBytes} = computeHeldLimits({memoryMb, maxFds: 4100}, heapBytes);
		const usedHeapBytes = Math.min(heapBytes, memoryMb * 1_000_000 * 0.45);
		assert.ok((2 * loneBufferBytes) + usedHeapBytes + 50_000_000 <= memoryMb * 1_000_000);
		assert.ok((3 * bufferBytes) + usedHeapBytes + 50_000_000 <= memoryMb * 1_000_000);
		assert.ok(requestBytes < usedHeapBytes);
	}
});

test('all connections together leave descriptors for files and for connections to servers and other nodes', () => {
	for (const maxFds of [256, 400, 4100]) {
		const {callerConnections, peerConnections, operatorConnections} = computeHeldLimits({memoryMb: 350, maxFds}, 140 * mebibyte);
		assert.ok(callerConnections + peerConnections + (3 * operatorConnections) <= 0.8 * maxFds);
	}
});
