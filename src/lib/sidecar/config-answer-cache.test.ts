import assert from 'node:assert/strict';
import test from 'node:test';
import {decodeConfigAnswer} from '../forwarding/config-messages.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {createRouteIndex} from '../route-config/route-index.js';
import {computeTextDelta} from '../route-config/text-delta.js';
import {createWorkspaceIndex} from '../workspaces/workspace-index.js';
import {createConfigAnswerCache} from './config-answer-cache.js';

type Holder = Parameters<typeof createConfigAnswerCache>[0];

const config: RouteConfig = {
	version: 7, routes: [], services: [], workspaces: [], unreadHosts: new Set(), warnings: [],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};

function createHolder(version: number, text: string): Holder {
	const steps = [{from: version - 1, to: version, delta: computeTextDelta('{a}', text)}];
	return {
		get: () => ({
			config, text, index: createRouteIndex(config), workspaces: createWorkspaceIndex([]),
		}),
		getVersion: () => version,
		listSteps: from => from === version - 1 ? steps : undefined,
	};
}

test('a node that lacks one known step gets that step, any other node gets the whole configuration', () => {
	const getConfigAnswer = createConfigAnswerCache(createHolder(7, '{b}'));
	const ask = (version: number) => {
		const {head, body} = getConfigAnswer(version);
		return decodeConfigAnswer(head, body)?.type;
	};

	assert.deepEqual([6, 0, 3].map(version => ask(version)), ['steps', 'whole', 'whole']);
});

test('the whole configuration is encoded once for all requested versions', () => {
	const getConfigAnswer = createConfigAnswerCache(createHolder(7, '{b}'));
	const first = getConfigAnswer(0);
	for (const version of [1, 2, -5, 1e300, 0.5, Number.MAX_SAFE_INTEGER]) {
		assert.equal(getConfigAnswer(version), first);
	}
});

test('a new version invalidates the cache', () => {
	let holder = createHolder(7, '{b}');
	const getConfigAnswer = createConfigAnswerCache({
		get: () => holder.get(), getVersion: () => holder.getVersion(), listSteps: version => holder.listSteps(version),
	});
	getConfigAnswer(0);
	getConfigAnswer(6);
	holder = createHolder(8, '{c}');
	const {head, body} = getConfigAnswer(0);
	assert.deepEqual(decodeConfigAnswer(head, body), {type: 'whole', text: '{c}'});
	assert.deepEqual(getConfigAnswer(6).head, ['whole']);
});
