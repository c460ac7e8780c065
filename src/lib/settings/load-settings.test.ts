import assert from 'node:assert/strict';
import test from 'node:test';
import {formatSettingsProblem, parseSettings} from './load-settings.js';

const good = `
node: n1
failureDomain: a
listen:
  callers: 127.0.0.1:7001
  gate: 127.0.0.1:7002
  control: 127.0.0.1:7003
  gossip: 127.0.0.1:7004
  operators: 127.0.0.1:7005
  announcements: 127.0.0.1:7006
store: {address: "127.0.0.1:7900"}
`;

function listProblems(text: string): string {
	return parseSettings(text)._unsafeUnwrapErr().map(problem => formatSettingsProblem(problem, 'n1.yaml')).join('\n');
}

test('all settings except node, failure domain and addresses have defaults', () => {
	const settings = parseSettings(good)._unsafeUnwrap();
	assert.equal(settings.distribution.fanOut, 8);
	assert.equal(settings.admission.queuePerSlot, 2);
});

test('each error names the file, the line, the field, the value found and the values allowed', () => {
	const text = `${good}distribution:\n  fanOut: 900\n  fanout: 3\nlogLevel: loud\n`;
	const problems = listProblems(text.replace('127.0.0.1:7003', 'localhost:7003'));
	assert.match(problems, /n1\.yaml:7:12: listen\.control: found "localhost:7003": must be an IP address and a port/);
	assert.match(problems, /n1\.yaml:13:11: distribution\.fanOut: found 900, allowed: at most 64/);
	assert.match(problems, /n1\.yaml:14:3: distribution\.fanout: unknown key "fanout"; remove it/);
	assert.match(problems, /n1\.yaml:15:11: logLevel: found "loud", allowed: "trace", "debug"/);
});

test('an empty file and invalid YAML are reported', () => {
	assert.match(listProblems(''), /settings/);
	assert.match(listProblems('node: [1'), /n1\.yaml:1/);
});
