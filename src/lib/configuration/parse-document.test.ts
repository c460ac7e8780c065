import assert from 'node:assert/strict';
import test from 'node:test';
import {parseConfigurationDocument} from './parse-document.js';
import {formatProblem} from './problem.js';

test('a document is parsed into items with their default values', () => {
	const items = parseConfigurationDocument('pools:\n  - {name: logs, service: logview}\n')._unsafeUnwrap();
	assert.deepEqual(items, [{
		kind: 'pool', name: 'logs', service: 'logview', isLocalFirst: true, slowStartMs: 5000,
	}]);
});

test('all problems are reported together, each with its line, its field and the allowed values', () => {
	const text = [
		'routes:',
		'  - name: Logs',
		'    path: logs',
		'    pool: logs',
		'    policy: pages',
		'pools:',
		'  - name: logs',
		'    service: logview',
		'    colour: red',
		'  - name: logs',
		'    service: other',
		'    slowStartMs: -5',
		'extra: []',
	].join('\n');
	const problems = parseConfigurationDocument(text)._unsafeUnwrapErr().map(problem => formatProblem(problem, 'mesh.yaml'));
	assert.equal(problems.length, 5);
	assert.match(problems.join('\n'), /mesh\.yaml:2:11: route\/Logs name: found "Logs": must be lower-case/);
	assert.match(problems.join('\n'), /mesh\.yaml:3:11: route\/Logs path: found "logs": must start with "\/"/);
	assert.match(problems.join('\n'), /unknown key "colour"/);
	assert.match(problems.join('\n'), /mesh\.yaml:12:18: pool\/logs slowStartMs: found -5, allowed: at least 0/);
	assert.match(problems.join('\n'), /extra: unknown section; allowed: routes, pools, policies/);
});

test('a duplicate name is reported as a problem', () => {
	const problems = parseConfigurationDocument('pools:\n  - {name: a, service: s}\n  - {name: a, service: s}\n')._unsafeUnwrapErr();
	assert.match(problems[0]?.message ?? '', /appears twice/);
});

test('a YAML syntax error is reported with its line', () => {
	const [problem] = parseConfigurationDocument('routes:\n  - {name: a\n')._unsafeUnwrapErr();
	assert.ok((problem?.line ?? 0) >= 2);
});
