/** Guards against a response that is lost behind other bytes, one that is taken for another's, and other bytes that take the processor. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import test from 'node:test';
import fc from 'fast-check';
import {createOwnResponseReader, type OwnResponseReader} from './own-response-reader.js';
import {type CompleteResponse} from './response-parser.js';

const ownId = 'own';
const ownBody = 'whole';

const createReader = (method = 'GET'): OwnResponseReader => createOwnResponseReader({
	id: ownId, method, isFirstRequest: false, isOwnResponse: headers => headers['x-call'] === ownId,
});

const ownResponses: readonly string[] = [
	`HTTP/1.1 200 OK\r\nx-call: ${ownId}\r\ncontent-length: ${ownBody.length}\r\n\r\n${ownBody}`,
	`HTTP/1.1 200\r\ncontent-length: ${ownBody.length}\r\nX-Call:${ownId}\r\n\r\n${ownBody}`,
	`HTTP/1.1 200 OK\r\nx-call: ${ownId}\r\ntransfer-encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n`,
	`HTTP/1.0 200 OK\r\nx-call: ${ownId}\r\nconnection: keep-alive\r\ncontent-length: ${ownBody.length}\r\n\r\n${ownBody}`,
	`HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nx-call: ${ownId}\r\ncontent-length: ${ownBody.length}\r\n\r\n${ownBody}`,
];

/** What a faulty server may send before the response: whole and cut responses to others, parts of them, and arbitrary bytes. */
const otherResponse = fc.constantFrom(
	'HTTP/1.1 200 OK\r\nx-call: other\r\ncontent-length: 4\r\n\r\npage',
	'HTTP/1.1 200 OK\r\nx-call: other\r\ncontent-length: 900\r\n\r\npage',
	'HTTP/1.1 200 OK\r\nx-call: other\r\n\r\npage',
	'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npage',
	'HTTP/1.1 200 OK\r\nx-call: other\r\ntransfer-encoding: chunked\r\n\r\n4\r\npage\r\n0\r\n\r\n',
	'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n',
	'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n',
	'HTTP/1.1 100 Continue\r\n\r\n',
	'HTTP/1.1 204 No Content\r\n\r\n',
);
const part = fc.constantFrom('HTTP/1.', 'HTTP/1.1', 'HTTP/1.1 2', 'HTTP/1.1 200', 'HTTP/1.1 200 OK\r\n', 'H', '\r', '\n', '\r\n', '\r\n\r\n', ': ', 'x-call: other', ownId, '0\r\n\r\n', '\0');
const cutResponse = fc.tuple(otherResponse, fc.nat(80)).map(([text, length]) => text.slice(0, length));
const otherBytes = fc.array(fc.oneof(otherResponse, cutResponse, part, fc.string({unit: 'binary-ascii', maxLength: 30})), {maxLength: 12}).map(parts => parts.join(''));

/** Reads bytes cut at the places. Returns the response, or the error. */
function readInPieces(reader: OwnResponseReader, text: string, cuts: readonly number[]): CompleteResponse | Error | undefined {
	const bytes = Buffer.from(text, 'latin1');
	const places = [...new Set(cuts.map(cut => cut % (bytes.length + 1))), 0, bytes.length].sort((a, b) => a - b);
	try {
		for (const [index, end] of places.slice(1).entries()) {
			const response = reader.read(bytes.subarray(places[index], end));
			if (response !== undefined) {
				return response;
			}
		}

		return undefined;
	} catch (error) {
		return error as Error;
	}
}

const cutPlaces = fc.array(fc.nat(2000), {maxLength: 40});

/** Whether the head of the response continues a header of one that was cut, so that the two can't be told from a header that quotes a status line. */
const isSecondStatusLineError = (result: unknown): boolean => result instanceof Error && result.message.includes('second status line');

test('the response is found behind any other bytes, however they are cut, or is refused where a cut head runs into it', () => {
	let found = 0;
	fc.assert(fc.property(otherBytes, fc.constantFrom(...ownResponses), cutPlaces, (other, own, cuts) => {
		const result = readInPieces(createReader(), other + own, cuts);
		if (isSecondStatusLineError(result)) {
			return;
		}

		assert.ok(result !== undefined && !(result instanceof Error), result instanceof Error ? result.message : 'no response');
		assert.equal(result.headers['x-call'], ownId);
		assert.equal(Buffer.from(result.body).toString(), ownBody);
		found++;
	}), {numRuns: 4000});
	assert.ok(found > 3000, `${found}`);
});

test('no other response is taken for it, however the bytes are cut', () => {
	fc.assert(fc.property(otherBytes, cutPlaces, (other, cuts) => {
		const result = readInPieces(createReader(), other, cuts);
		assert.ok(result === undefined || result instanceof Error);
	}), {numRuns: 4000});
});

test('where the bytes are cut changes nothing', () => {
	fc.assert(fc.property(otherBytes, fc.constantFrom(...ownResponses), cutPlaces, (other, own, cuts) => {
		const describe = (result: CompleteResponse | Error | undefined): unknown => result instanceof Error ? result.message : result?.status;
		assert.equal(describe(readInPieces(createReader(), other + own, cuts)), describe(readInPieces(createReader(), other + own, [])));
	}), {numRuns: 4000});
});

/** What a connection may deliver at once, in bytes. */
const readBytes = 65_536;

const adversarialBytes = 64_000_000;

/** Several times what an unloaded core takes for the slowest of them. */
const maxProcessorMs = 4000;

for (const [name, repeated] of [
	['beginnings of status lines', 'HTTP/1.1 200 '],
	['beginnings of the beginning of a status line', 'HTTP/1.'],
	['status lines with line ends', 'HTTP/1.1 200 OK\r\n'],
	['responses to others', 'HTTP/1.1 200 OK\r\nx-call: other\r\ncontent-length: 0\r\n\r\n'],
	['interim responses', 'HTTP/1.1 102 Processing\r\n\r\n'],
	['line ends', '\r\n'],
	['bytes without a line end', 'x'],
	['zeros and ends of heads', '\0\r\n\r\n'],
	['a header without an end', 'HTTP/1.1 200 OK\r\nx: '.padEnd(readBytes, 'x')],
] as const) {
	for (const pieceBytes of [readBytes, 1460]) {
		test(`${name} without end, ${pieceBytes} bytes at a time, take little processor time`, () => {
			const bytes = Buffer.alloc(adversarialBytes, repeated, 'latin1');
			const reader = createReader();
			const before = process.cpuUsage();
			try {
				for (let at = 0; at < bytes.length; at += pieceBytes) {
					reader.read(bytes.subarray(at, at + pieceBytes));
				}
			} catch (error) {
				assert.match((error as Error).message, /belong to no request/);
			}

			const {user, system} = process.cpuUsage(before);
			const processorMs = (user + system) / 1000;
			assert.ok(processorMs < maxProcessorMs, `${processorMs} ms`);
		});
	}
}
