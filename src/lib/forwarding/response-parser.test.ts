import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {ResponseFormatError} from './response-format-error.js';
import {createResponseParser, type CompleteResponse} from './response-parser.js';

/** Parses a response in pieces, split at the given positions. */
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

test('property: a response with Content-Length is parsed the same however it is split', () => {
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

test('property: a chunked response with extensions and trailers is parsed the same however it is split', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({minLength: 1, maxLength: 40}), {maxLength: 6}), cuts, fc.boolean(), (parts, places, hasTrailer) => {
		const chunks = parts.map(part => Buffer.concat([Buffer.from(`${part.length.toString(16)};name=value\r\n`), part, Buffer.from('\r\n')]));
		const bytes = Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'), ...chunks, Buffer.from(`0\r\n${hasTrailer ? 'x: y\r\n' : ''}\r\n`)]);
		const {response, parser} = readInPieces(bytes, places);
		assert.deepEqual(Buffer.from(response!.body), Buffer.concat(parts));
		assert.equal(parser.hasExcessBytes(), false);
	}));
});

test('property: a truncated response is never complete', () => {
	fc.assert(fc.property(fc.uint8Array({minLength: 1, maxLength: 60}), fc.nat(), fc.boolean(), (bytes, place, isChunked) => {
		const text = isChunked ? `Transfer-Encoding: chunked\r\n\r\n${bytes.length.toString(16)}\r\n` : `Content-Length: ${bytes.length}\r\n\r\n`;
		const whole = Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${text}`), bytes, Buffer.from(isChunked ? '\r\n0\r\n\r\n' : '')]);
		const {response, parser} = readInPieces(whole.subarray(0, place % whole.length), []);
		assert.equal(response, undefined);
		assert.equal(parser.end(), undefined);
	}));
});

test('property: arbitrary bytes are a response, part of one, or a ResponseFormatError', () => {
	fc.assert(fc.property(fc.oneof(fc.uint8Array({maxLength: 200}), fc.string().map(text => Buffer.from(`HTTP/1.1 200 OK\r\n${text}\r\n\r\n`))), cuts, (bytes, places) => {
		try {
			readInPieces(bytes, places);
		} catch (error) {
			assert.ok(error instanceof ResponseFormatError);
		}
	}));
});

test('bytes after a complete response are excess bytes', () => {
	const {response, parser} = readText('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n');
	assert.equal(Buffer.from(response!.body).toString(), 'ok');
	assert.equal(parser.hasExcessBytes(), true);
});

test('a response without a length ends when the connection closes, and the connection is not reusable', () => {
	const {response, parser} = readText('HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome');
	assert.equal(response, undefined);
	assert.equal(parser.isCloseDelimited(), true);
	const whole = parser.end();
	assert.equal(Buffer.from(whole!.body).toString(), 'some');
	assert.equal(whole!.isReusable, false);
});

test('responses without a body need no length', () => {
	assert.equal(readText('HTTP/1.1 204 No Content\r\n\r\n').response?.status, 204);
	assert.equal(readText('HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n').response?.body.length, 0);
	assert.equal(readText('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n', 'HEAD').response?.body.length, 0);
});

test('interim responses are skipped', () => {
	const {response} = readText('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n');
	assert.equal(response?.status, 201);
	assert.equal(response.headers.link, undefined);
});

test('the Connection header and the HTTP version determine whether the connection is reusable', () => {
	const isReusable = (line: string, fields: string): boolean | undefined => readText(`${line}\r\n${fields}Content-Length: 0\r\n\r\n`).response?.isReusable;
	assert.equal(isReusable('HTTP/1.1 200 OK', ''), true);
	assert.equal(isReusable('HTTP/1.1 200 OK', 'Connection: Close\r\n'), false);
	assert.equal(isReusable('HTTP/1.0 200 OK', ''), false);
	assert.equal(isReusable('HTTP/1.0 200 OK', 'Connection: keep-alive\r\n'), true);
});

test('repeated headers are combined, except Set-Cookie', () => {
	const {response} = readText('HTTP/1.1 200 OK\r\nVia: a\r\nVia: b\r\nSet-Cookie: c\r\nSet-Cookie: d\r\nContent-Length: 0\r\n\r\n');
	assert.equal(response?.headers.via, 'a, b');
	assert.deepEqual(response?.headers['set-cookie'], ['c', 'd']);
});

test('headers named like properties of Object.prototype are ordinary headers', () => {
	const {response} = readText('HTTP/1.1 200 OK\r\nConstructor: a\r\n__proto__: b\r\nContent-Length: 0\r\n\r\n');
	assert.equal(response?.headers.constructor, 'a');
	assert.equal(Object.getPrototypeOf(response?.headers), Object.prototype);
});

for (const [name, text] of [
	['two Content-Length headers', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'],
	['Content-Length and chunked encoding', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n'],
	['a Content-Length that is not a number', 'HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\n'],
	['an unknown transfer encoding', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n'],
	['a folded header line', 'HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n'],
	['a space before the colon', 'HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n'],
	['a control character in a header value', 'HTTP/1.1 200 OK\r\nX: a\u0001b\r\nContent-Length: 0\r\n\r\n'],
	['a first line that is not a status line', 'what is this?\r\n\r\n'],
	['status 101 Switching Protocols', 'HTTP/1.1 101 Switching Protocols\r\n\r\n'],
	['a chunk size that is not a number', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n'],
	['a chunk longer than its size', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n'],
	['an endless head', `HTTP/1.1 200 OK\r\nX: ${'y'.repeat(20_000)}`],
] as const) {
	test(`a response with ${name} is refused`, () => {
		assert.throws(() => readText(text), ResponseFormatError);
	});
}

test('an endless response is refused, whichever way its length is determined', () => {
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
		}, /response is larger than \d+ bytes/);
	}

	assert.throws(() => readText('HTTP/1.1 100 Continue\r\n\r\n'.repeat(40)), /too many interim responses/);
	assert.throws(() => readText('HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n'), /response is larger than \d+ bytes/);
});
