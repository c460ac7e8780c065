import assert from 'node:assert/strict';
import test from 'node:test';
import {authenticateRequest, type Authentication, type AuthenticationFailure} from './authenticate-request.js';
import {createSampleWorkspace} from './sample-workspace.js';
import {createWorkspaceIndex} from './workspace-index.js';

const names = {authorization: 'authorization', authorizationScheme: 'token', workspace: 'x-workspace'};
const longest = 'k'.repeat(256);
const alpha = createSampleWorkspace({keys: ['alpha-1', longest]});
const index = createWorkspaceIndex([alpha]);

const authenticate = (rawHeaders: readonly string[], allowsAnonymous = false): Authentication => authenticateRequest(index, {rawHeaders, allowsAnonymous}, names);

const describeResult = (authentication: Authentication): string => {
	switch (authentication.type) {
		case 'anonymous': {
			return 'anonymous';
		}

		case 'authenticated': {
			return authentication.workspace.name;
		}

		case 'refused': {
			return authentication.cause;
		}
	}
};

test('a known key identifies its workspace, whatever the case of the name of the header and the scheme', () => {
	const accepted = [
		['Authorization', 'Token alpha-1'],
		['host', 'a', 'AUTHORIZATION', 'TOKEN alpha-1'],
		['authorization', 'token alpha-1', 'x', 'y'],
		['Authorization', `Token ${longest}`],
	];
	for (const rawHeaders of accepted) {
		assert.equal(describeResult(authenticate(rawHeaders)), 'alpha');
	}
});

test('a request without a key is accepted only where the route allows it', () => {
	assert.equal(describeResult(authenticate(['host', 'a'])), 'missing-key');
	assert.equal(describeResult(authenticate(['host', 'a'], true)), 'anonymous');
	// The name of a header is not its value, and neither is that of another header that contains it.
	assert.equal(describeResult(authenticate(['x-name', 'authorization', 'x-authorization', 'Token alpha-1', 'proxy-authorization', 'Token alpha-1'])), 'missing-key');
});

const refused: ReadonlyArray<readonly [name: string, rawHeaders: readonly string[], cause: AuthenticationFailure]> = [
	['an unknown key', ['authorization', 'Token alpha-9'], 'unknown-key'],
	['a longer key', ['authorization', 'Token alpha-11'], 'unknown-key'],
	['a key in upper case', ['authorization', 'Token ALPHA-1'], 'unknown-key'],
	['the same header twice', ['authorization', 'Token alpha-1', 'Authorization', 'Token alpha-1'], 'repeated-header'],
	['a second header of another scheme', ['authorization', 'Basic x', 'Authorization', 'Token alpha-1'], 'repeated-header'],
	['another scheme', ['authorization', 'Bearer alpha-1'], 'malformed-credentials'],
	['no scheme', ['authorization', 'alpha-1'], 'malformed-credentials'],
	['no key', ['authorization', 'Token'], 'malformed-credentials'],
	['an empty value', ['authorization', ''], 'malformed-credentials'],
	['an empty key', ['authorization', 'Token '], 'malformed-credentials'],
	['two spaces', ['authorization', 'Token  alpha-1'], 'malformed-credentials'],
	['a tab', ['authorization', 'Token\talpha-1'], 'malformed-credentials'],
	['two keys', ['authorization', 'Token alpha-1 alpha-1'], 'malformed-credentials'],
	['a list of credentials', ['authorization', 'Token alpha-1, Token alpha-1'], 'malformed-credentials'],
	['a character that is not ASCII', ['authorization', 'Token alpha-\u00E9'], 'malformed-credentials'],
	['a control character', ['authorization', 'Token alpha-1\u007F'], 'malformed-credentials'],
	['a key that is too long', ['authorization', `Token ${longest}k`], 'malformed-credentials'],
	['a huge key', ['authorization', `Token ${'k'.repeat(60_000)}`], 'malformed-credentials'],
];

for (const [name, rawHeaders, cause] of refused) {
	// A key that is wrong is refused on an anonymous route too: its caller must learn of the mistake.
	test(`${name} is refused, also where a key is not needed, and the result contains no part of it`, () => {
		for (const allowsAnonymous of [false, true]) {
			const result = authenticate(rawHeaders, allowsAnonymous);
			assert.deepEqual(result, {type: 'refused', cause});
		}
	});
}

test('without workspaces, headers are not looked at', () => {
	const rawHeaders = new Proxy<string[]>([], {
		get() {
			assert.fail('the headers were read');
		},
	});
	assert.deepEqual(authenticateRequest(createWorkspaceIndex([]), {rawHeaders, allowsAnonymous: false}, names), {type: 'anonymous'});
});
