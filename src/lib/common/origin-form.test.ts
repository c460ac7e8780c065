import assert from 'node:assert/strict';
import {type IncomingMessage} from 'node:http';
import test from 'node:test';
import {normalizeTarget} from './origin-form.js';

// Guards against a request that matches no route because its target names the scheme and the host.
for (const [target, host, expectedTarget, expectedHost] of [
	['/a/b?c=http://d/', 'h', '/a/b?c=http://d/', 'h'],
	['http://mesh.example/a/b?c', 'h', '/a/b?c', 'mesh.example'],
	['HTTPS://Mesh.example:80/a', 'h', '/a', 'Mesh.example:80'],
	['http://mesh.example', 'h', '/', 'mesh.example'],
	['http://mesh.example?c', 'h', '/?c', 'mesh.example'],
	['*', 'h', '*', 'h'],
	['http://', 'h', 'http://', 'h'],
] as const) {
	test(`the target ${target} becomes ${expectedTarget}`, () => {
		const request = {url: target, headers: {host}} as unknown as IncomingMessage;
		normalizeTarget(request);
		assert.deepEqual([request.url, request.headers.host], [expectedTarget, expectedHost]);
	});
}
