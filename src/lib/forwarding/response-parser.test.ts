import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {ResponseFormatError} from './response-format-error.js';
import {createResponseParser, type CompleteResponse} from './response-parser.js';

/** Feeds an answer in pieces that end at some places. */
function readInPieces(bytes: Uint8Array, cuts: readonly number[], method = 'GET'): {readonly response: CompleteResponse | undefined; readonly parser: ReturnType<typeof createResponseParser>} {
	const parser = createResponseParser(method);
	const ends = [...new Set([...cuts.map(cut => cut % (bytes.length + 1)), bytes.length])].toSorted((left, right) => left - right);
	let response: CompleteResponse | undefined;
	let start = 0;
	for (const end of ends) {
		if (end > start) {
			response = parser.read(bytes.subarray(start, end)) ?? response;
			start = end;
		}
	}

	return {response, parser};
}

const readText = (text: string, method = 'GET') => readInPieces(Buffer.from(text, 'latin1'), [], method);

const body = fc.uint8Array({maxLength: 300});
const cuts = fc.array(fc.nat(1000), {maxLength: 6});

test('property: an answer with a length is the same in whatever pieces it comes', () => {
	fc.assert(fc.property(body, cuts, (bytes, places) => {
		const head = Buffer.from(`HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: ${bytes.length}\r\n\r\n`);
		const {response, parser} = readInPieces(Buffer.concat([head, bytes]), places);
		assert.equal(response?.status, 200);
		assert.equal(response.headers['x-name'], 'a');
		assert.equal(response.isReusable, true);
		assert.deepEqual(Buffer.from(response.body), Buffer.from(bytes));
		assert.equal(parser.hasExcessBytes(), false);
	}));
});

test('property: so is one in chunks, with extensions and trailers', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({minLength: 1, maxLength: 40}), {maxLength: 6}), cuts, fc.boolean(), (parts, places, hasTrailer) => {
		const chunks = parts.map(part => Buffer.concat([Buffer.from(`${part.length.toString(16)};name=value\r\n`), part, Buffer.from('\r\n')]));
		const bytes = Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'), ...chunks, Buffer.from(`0\r\n${hasTrailer ? 'x: y\r\n' : ''}\r\n`)]);
		const {response, parser} = readInPieces(bytes, places);
		assert.deepEqual(Buffer.from(response!.body), Buffer.concat(parts));
		assert.equal(parser.hasExcessBytes(), false);
	}));
});

test('property: an answer that is cut anywhere is not whole', () => {
	fc.assert(fc.property(fc.uint8Array({minLength: 1, maxLength: 60}), fc.nat(), fc.boolean(), (bytes, place, isChunked) => {
		const text = isChunked ? `Transfer-Encoding: chunked\r\n\r\n${bytes.length.toString(16)}\r\n` : `Content-Length: ${bytes.length}\r\n\r\n`;
		const whole = Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${text}`), bytes, Buffer.from(isChunked ? '\r\n0\r\n\r\n' : '')]);
		const {response, parser} = readInPieces(whole.subarray(0, place % whole.length), []);
		assert.equal(response, undefined);
		assert.equal(parser.end(), undefined);
	}));
});

test('property: whatever bytes come, they are an answer, a part of one, or refused', () => {
	fc.assert(fc.property(fc.oneof(fc.uint8Array({maxLength: 200}), fc.string().map(text => Buffer.from(`HTTP/1.1 200 OK\r\n${text}\r\n\r\n`))), cuts, (bytes, places) => {
		try {
			readInPieces(bytes, places);
		} catch (error) {
			assert.ok(error instanceof ResponseFormatError);
		}
	}));
});

test('bytes behind a whole answer belong to no request', () => {
	const {response, parser} = readText('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n');
	assert.equal(Buffer.from(response!.body).toString(), 'ok');
	assert.equal(parser.hasExcessBytes(), true);
});

test('only the end of the connection ends an answer without a length, and the connection is not kept', () => {
	const {response, parser} = readText('HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome');
	assert.equal(response, undefined);
	assert.equal(parser.isCloseDelimited(), true);
	const whole = parser.end();
	assert.equal(Buffer.from(whole!.body).toString(), 'some');
	assert.equal(whole!.isReusable, false);
});

test('answers without a body need no length', () => {
	assert.equal(readText('HTTP/1.1 204 No Content\r\n\r\n').response?.status, 204);
	assert.equal(readText('HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n').response?.body.length, 0);
	assert.equal(readText('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n', 'HEAD').response?.body.length, 0);
});

test('what comes before the answer proper is passed over', () => {
	const {response} = readText('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n');
	assert.equal(response?.status, 201);
	assert.equal(response.headers.link, undefined);
});

test('a connection is kept as the answer says', () => {
	const isReusable = (line: string, fields: string): boolean | undefined => readText(`${line}\r\n${fields}Content-Length: 0\r\n\r\n`).response?.isReusable;
	assert.equal(isReusable('HTTP/1.1 200 OK', ''), true);
	assert.equal(isReusable('HTTP/1.1 200 OK', 'Connection: Close\r\n'), false);
	assert.equal(isReusable('HTTP/1.0 200 OK', ''), false);
	assert.equal(isReusable('HTTP/1.0 200 OK', 'Connection: keep-alive\r\n'), true);
});

test('a field that comes twice is joined, but for those that cannot be', () => {
	const {response} = readText('HTTP/1.1 200 OK\r\nVia: a\r\nVia: b\r\nSet-Cookie: c\r\nSet-Cookie: d\r\nContent-Length: 0\r\n\r\n');
	assert.equal(response?.headers.via, 'a, b');
	assert.deepEqual(response?.headers['set-cookie'], ['c', 'd']);
});

test('a field that is called like a part of every object is one like any other', () => {
	const {response} = readText('HTTP/1.1 200 OK\r\nConstructor: a\r\n__proto__: b\r\nContent-Length: 0\r\n\r\n');
	assert.equal(response?.headers.constructor, 'a');
	assert.equal(Object.getPrototypeOf(response?.headers), Object.prototype);
});

for (const [name, text] of [
	['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'],
	['a length and chunks', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n'],
	['a length that is no number', 'HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\n'],
	['an encoding that is not known', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n'],
	['a line that goes on in the next', 'HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n'],
	['a space before the colon', 'HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n'],
	['a character in a field that no field can hold', 'HTTP/1.1 200 OK\r\nX: a\u0001b\r\nContent-Length: 0\r\n\r\n'],
	['another protocol', 'what is this?\r\n\r\n'],
	['a change of protocol', 'HTTP/1.1 101 Switching Protocols\r\n\r\n'],
	['the size of a chunk that is no number', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n'],
	['a chunk that is longer than its size', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n'],
	['a head that does not end', `HTTP/1.1 200 OK\r\nX: ${'y'.repeat(20_000)}`],
] as const) {
	test(`an answer with ${name} is refused`, () => {
		assert.throws(() => readText(text), ResponseFormatError);
	});
}

test('an answer that does not end is given up, however it is framed', () => {
	const megabyte = Buffer.alloc(1_048_576, 'x');
	for (const [head, piece] of [
		['HTTP/1.1 200 OK\r\n\r\n', megabyte],
		['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', Buffer.concat([Buffer.from('100000\r\n'), megabyte, Buffer.from('\r\n')])],
	] as const) {
		const parser = createResponseParser('GET');
		parser.read(Buffer.from(head));
		assert.throws(() => {
			for (let sent = 0; sent < 200; sent++) {
				parser.read(piece);
			}
		}, /an answer of more than/);
	}

	assert.throws(() => readText('HTTP/1.1 100 Continue\r\n\r\n'.repeat(40)), /interim answers that do not end/);
	assert.throws(() => readText('HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n'), /an answer of more than/);
});
