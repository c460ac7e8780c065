import assert from 'node:assert/strict';
import test from 'node:test';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {createRouteIndex} from '../route-config/route-index.js';
import {createSampleConfig, createSampleRoute} from '../route-config/sample-config.js';
import {createSampleWorkspace} from '../workspaces/sample-workspace.js';
import {createWorkspaceIndex} from '../workspaces/workspace-index.js';
import {type Workspace} from '../workspaces/workspace.js';
import {createAccessCheck, filterCallerHeaders, type CredentialedRequest} from './caller-access.js';

const headerNames = {
	authorization: 'authorization', authorizationScheme: 'token', workspace: 'x-workspace',
	callId: 'x-call', timeLeft: 'x-time', expectedServer: 'x-server', callerService: 'x-service', signature: 'x-signature', notRun: 'x-not-run', serverLimit: 'x-limit', serverLeaving: 'x-leaving', serverLoad: 'x-load',
};
const alpha = createSampleWorkspace({name: 'alpha', keys: ['alpha-1']});
const beta = createSampleWorkspace({name: 'beta', keys: ['beta-1']});

function createActive(version: number, workspaces: readonly Workspace[]): ActiveConfig {
	const config = createSampleConfig(version);
	return {
		config, index: createRouteIndex(config), workspaces: createWorkspaceIndex(workspaces), text: '',
	};
}

const createRequest = (key: string | undefined): CredentialedRequest => key === undefined
	? {headers: {}, rawHeaders: []}
	: {headers: {authorization: `Token ${key}`}, rawHeaders: ['Authorization', `Token ${key}`]};

type Setup = {
	readonly accepted: readonly Workspace[];
	readonly current: readonly Workspace[] | undefined;
	readonly key?: string;
	readonly workspace?: Workspace;
	readonly isOutdated?: boolean;
};

/** Returns the reason for which a request is refused that one configuration accepted, after another has become active. */
function checkAfterChange({accepted, current, key, workspace, isOutdated = false}: Setup): string | undefined {
	const next = current === undefined ? undefined : createActive(8, current);
	const checkAccess = createAccessCheck({headerNames, getConfig: () => next, isConfigOutdated: () => isOutdated}, {
		request: createRequest(key), route: createSampleRoute({allowsAnonymous: key === undefined}), activeConfig: createActive(7, accepted), workspace,
	});
	return checkAccess()?.reason;
}

test('a request stays accepted while its key stays with its workspace', () => {
	const request = {accepted: [alpha], key: 'alpha-1', workspace: alpha};
	assert.equal(checkAfterChange({...request, current: undefined}), undefined);
	assert.equal(checkAfterChange({...request, current: [{...alpha, keys: ['alpha-2', 'alpha-1'], burst: 3}, beta]}), undefined);
	assert.equal(checkAfterChange({accepted: [alpha], current: [beta]}), undefined, 'a request without a key');
	assert.equal(checkAfterChange({accepted: [], current: []}), undefined);
});

test('the key is not looked up again while the configuration stays the same', () => {
	const active = createActive(7, [alpha]);
	const request = {
		headers: {}, get rawHeaders(): string[] {
			return assert.fail('the headers were read');
		},
	};
	const checkAccess = createAccessCheck({headerNames, getConfig: () => active, isConfigOutdated: () => false}, {
		request, route: createSampleRoute(), activeConfig: active, workspace: alpha,
	});
	assert.equal(checkAccess(), undefined);
});

test('a request whose key was withdrawn is not authorized any more', () => {
	assert.equal(checkAfterChange({
		accepted: [alpha, beta], current: [beta], key: 'alpha-1', workspace: alpha,
	}), 'unauthorized');
});

// Guards against a 401 for a key that a newer version holds again, which callers treat as permanent.
test('a withdrawn key is refused as not run by a node that knows of an even newer version', () => {
	assert.equal(checkAfterChange({
		accepted: [alpha, beta], current: [beta], key: 'alpha-1', workspace: alpha, isOutdated: true,
	}), 'config-outdated');
});

test('a request whose key belongs to another workspace now, or to none, is refused as not run', () => {
	const request = {accepted: [alpha, beta], key: 'alpha-1', workspace: alpha};
	assert.equal(checkAfterChange({...request, current: [{...beta, keys: ['alpha-1']}]}), 'workspace-changed');
	assert.equal(checkAfterChange({...request, current: []}), 'workspace-changed');
	// Its credentials would be passed on to the server as they were without workspaces.
	assert.equal(checkAfterChange({accepted: [], current: [alpha], key: 'alpha-1'}), 'workspace-changed');
});

test('credentials are passed on only without workspaces, and the name of a workspace that a caller sent never is', () => {
	const request = {
		headers: {
			authorization: 'Token alpha-1', 'x-workspace': 'beta', 'x-call': 'c1', 'x-service': 'forged', accept: 'a',
		}, rawHeaders: [],
	};
	assert.deepEqual(filterCallerHeaders(createActive(7, [alpha]), request, headerNames), {accept: 'a'});
	assert.deepEqual(filterCallerHeaders(createActive(7, []), request, headerNames), {authorization: 'Token alpha-1', accept: 'a'});
});
