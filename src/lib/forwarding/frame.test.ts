import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {FieldError} from '../common/field-error.js';
import {
	createFrameReader, encodeFrameHead, type Frame, type FrameType,
} from './frame.js';

const frame = fc.record({
	type: fc.constantFrom<FrameType>('request', 'offer', 'continue', 'body', 'answer', 'cancel', 'config', 'ping', 'pong', 'quota', 'piece'),
	id: fc.nat(4_000_000),
	head: fc.option(fc.record({target: fc.string(), headers: fc.dictionary(fc.string(), fc.string(), {noNullPrototype: true})}, {noNullPrototype: true}), {nil: undefined}),
	body: fc.uint8Array({maxLength: 2000}),
});

const encode = (frames: readonly Frame[]): Uint8Array => Buffer.concat(frames.flatMap(one => [encodeFrameHead(one), one.body]));

test('property: frames are decoded unchanged, however the bytes are split into chunks', () => {
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

test('bytes that are no frame are rejected with the field and the values that are allowed', () => {
	assert.throws(() => createFrameReader().read(Buffer.from('GET / HTTP/1.1\r\n\r\n')), /frame\.length: found \d+, must be 9 to \d+ bytes/);
	const change = (write: (bytes: ReturnType<typeof Buffer.alloc>) => void): Uint8Array => {
		const bytes = Buffer.from(encodeFrameHead({type: 'cancel', id: 1}));
		write(bytes);
		return bytes;
	};

	assert.throws(() => createFrameReader().read(change(bytes => bytes.writeUInt8(99, 4))), /frame\.type: found 99, must be less than 11/);
	assert.throws(() => createFrameReader().read(change(bytes => bytes.writeUInt32LE(1000, 9))), /frame\.headLength: found 1000/);
	assert.throws(() => createFrameReader().read(change(bytes => bytes.writeUInt32LE(8, 0))), /frame\.length: found 8/);
	assert.throws(() => createFrameReader().read(change(bytes => {
		bytes.writeUInt32LE(100_000_000, 0);
		bytes.writeUInt32LE(98_765_432, 9);
	})), /frame\.headLength: found 98765432/);
});

test('bytes that arrive one by one take less than one and a half times their size in memory', () => {
	const bytes = Buffer.concat([encodeFrameHead({type: 'body', id: 1, body: Buffer.alloc(200_000)}), Buffer.alloc(199_999)]);
	const reader = createFrameReader();
	for (const byte of bytes) {
		assert.equal(reader.read(Buffer.from([byte])).length, 0);
	}

	assert.ok(reader.countBufferedBytes() > bytes.length && reader.countBufferedBytes() < bytes.length * 1.5, `${reader.countBufferedBytes()} bytes`);
	assert.equal(reader.read(Buffer.alloc(1))[0]?.body.length, 200_000);
});

test('property: random bytes and damaged frames are decoded as frames or rejected', () => {
	const changed = fc.tuple(fc.array(frame, {minLength: 1, maxLength: 3}), fc.array(fc.record({place: fc.nat(3000), byte: fc.nat(255)}), {maxLength: 4})).map(([frames, changes]) => {
		const bytes = Buffer.from(encode(frames));
		for (const {place, byte} of changes) {
			bytes[place % bytes.length] = byte;
		}

		return bytes;
	});
	fc.assert(fc.property(fc.oneof(fc.uint8Array({maxLength: 200}), changed), bytes => {
		try {
			for (const {id, head} of createFrameReader().read(bytes)) {
				assert.ok(Number.isInteger(id) && JSON.stringify(head) !== '');
			}
		} catch (error) {
			assert.ok(error instanceof FieldError || error instanceof SyntaxError, String(error));
		}
	}), {seed: 20_260, numRuns: 1000});
});
