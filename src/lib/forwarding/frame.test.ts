import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {
	createFrameReader, encodeFrameHead, type Frame, type FrameType,
} from './frame.js';

const frame = fc.record({
	type: fc.constantFrom<FrameType>('request', 'offer', 'continue', 'body', 'answer', 'cancel', 'config', 'ping', 'pong'),
	id: fc.nat(4_000_000),
	head: fc.option(fc.record({target: fc.string(), headers: fc.dictionary(fc.string(), fc.string(), {noNullPrototype: true})}, {noNullPrototype: true}), {nil: undefined}),
	body: fc.uint8Array({maxLength: 2000}),
});

const encode = (frames: readonly Frame[]): Uint8Array => Buffer.concat(frames.flatMap(one => [encodeFrameHead(one), one.body]));

test('property: frames come out as they went in, however the bytes are cut', () => {
	fc.assert(fc.property(fc.array(frame, {maxLength: 6}), fc.array(fc.integer({min: 1, max: 700}), {minLength: 1}), (frames, cuts) => {
		const bytes = encode(frames);
		const reader = createFrameReader();
		const read: Frame[] = [];
		for (let from = 0, index = 0; from < bytes.length; index++) {
			const to = from + (cuts[index % cuts.length] ?? 1);
			read.push(...reader.read(bytes.subarray(from, to)));
			from = to;
		}

		assert.deepEqual(read.map(({body, ...rest}) => ({...rest, body: [...body]})), frames.map(({body, ...rest}) => ({...rest, body: [...body]})));
	}));
});

test('bytes that are no frames are refused', () => {
	assert.throws(() => createFrameReader().read(Buffer.from('GET / HTTP/1.1\r\n\r\n')), /too long/);
	const unknownType = Buffer.from(encodeFrameHead({type: 'cancel', id: 1}));
	unknownType.writeUInt8(99, 4);
	assert.throws(() => createFrameReader().read(unknownType), /no frame/);
	const wrongHead = Buffer.from(encodeFrameHead({type: 'cancel', id: 1}));
	wrongHead.writeUInt32LE(1000, 9);
	assert.throws(() => createFrameReader().read(wrongHead), /no frame/);
});
