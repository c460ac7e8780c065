import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {startProcess, type RunningProcess} from '../../demo/processes.js';
import {createListenAddresses} from '../../stand-ins/loopback-addresses.js';
import {waitUntil} from '../../stand-ins/wait-until.js';

/** Much longer than any step of the test takes, also under load. */
const maximumWaitMs = 20_000;

type Daemon = {
	readonly running: RunningProcess;
	readonly writeSettings: (changes: Readonly<Record<string, unknown>>) => void;
	/** Waits for a log line that matches the pattern. */
	readonly expectLine: (pattern: RegExp) => Promise<void>;
};

/** Starts the daemon with a store that cannot be reached. */
async function startDaemon(context: TestContext): Promise<Daemon> {
	const folder = mkdtempSync(path.join(tmpdir(), 'stonemoor-'));
	const file = path.join(folder, 'settings.yaml');
	const host = `127.78.${process.pid % 250}.1`;
	const {callers, gate, gossip, announcements} = createListenAddresses(host);
	const settings = {
		node: 'n1', failureDomain: 'a', service: 'logview', storeAddress: `${host}:7099`, linkMbps: 1000, seeds: [], shutdown: '4s',
		listen: {
			callers, gate, gossip, announcements, readiness: `${host}:7007`, metrics: `${host}:7008`,
		},
		retries: {ratio: 0.2, slack: 62, window: '10s'},
	};
	const writeSettings = (changes: Readonly<Record<string, unknown>>): void => {
		writeFileSync(file, `# written by a test\n${JSON.stringify({...settings, ...changes})}`);
	};

	writeSettings({});
	const running = startProcess('n1', 'apps/sidecar/main.js', [file]);
	context.after(() => {
		running.child.kill('SIGKILL');
		rmSync(folder, {recursive: true});
	});
	const expectLine = async (pattern: RegExp): Promise<void> => {
		assert.ok(await waitUntil(() => pattern.test(running.getOutput()), maximumWaitMs), `no line ${pattern.source} in:\n${running.getOutput()}`);
	};

	await expectLine(/node-started/);
	return {running, writeSettings, expectLine};
}

test('a changed settings file is applied with and without a signal; an invalid one is logged and not applied', async context => {
	const {running, writeSettings, expectLine} = await startDaemon(context);
	writeSettings({shutdown: 'soon'});
	running.child.kill('SIGHUP');
	await expectLine(/"level":50.*settings-reloaded.*shutdown: found \\"soon\\"/);
	writeSettings({service: 'hall'});
	await expectLine(/settings-reloaded.*these settings take effect only after a restart: service/);
	running.child.kill('SIGTERM');
	assert.equal(await running.waitForExit(), 0);
});
