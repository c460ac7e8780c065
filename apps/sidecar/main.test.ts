import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {createListenAddresses} from '../../stand-ins/loopback-addresses.js';
import {waitUntil} from '../../stand-ins/wait-until.js';

const program = fileURLToPath(new URL('main.js', import.meta.url));

/** Far longer than anything takes here, also beside load. Milliseconds. */
const longestWaitMs = 20_000;

type Daemon = {
	readonly child: ChildProcess;
	readonly writeSettings: (changes: Readonly<Record<string, unknown>>) => void;
	/** Waits for a line that says this. */
	readonly expectLine: (pattern: RegExp) => Promise<void>;
};

/** Starts the daemon with a store that is away. */
async function startDaemon(context: TestContext): Promise<Daemon> {
	const folder = mkdtempSync(path.join(tmpdir(), 'stonemoor-'));
	const file = path.join(folder, 'settings.yaml');
	const host = `127.78.${process.pid % 250}.1`;
	const {callers, gate, gossip, announcements} = createListenAddresses(host);
	const settings = {
		node: 'n1', failureDomain: 'a', service: 'logview', storeAddress: `${host}:7099`, seeds: [], shutdown: '4s',
		listen: {
			callers, gate, gossip, announcements, readiness: `${host}:7007`, metrics: `${host}:7008`,
		},
		retries: {ratio: 0.2, slack: 62, window: '10s'},
	};
	const writeSettings = (changes: Readonly<Record<string, unknown>>): void => {
		writeFileSync(file, `# made by a test\n${JSON.stringify({...settings, ...changes})}`);
	};

	writeSettings({});
	const child = spawn(process.execPath, [program, file], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.setEncoding('utf8');
	child.stdout.on('data', (text: string) => {
		output += text;
	});
	context.after(() => {
		child.kill('SIGKILL');
		rmSync(folder, {recursive: true});
	});
	const expectLine = async (pattern: RegExp): Promise<void> => {
		assert.ok(await waitUntil(() => pattern.test(output), longestWaitMs), `no line ${pattern.source} in:\n${output}`);
		output = '';
	};

	await expectLine(/node-started/);
	return {child, writeSettings, expectLine};
}

test('a changed settings file is taken over with and without a signal; a bad one changes nothing and is named', async context => {
	const {child, writeSettings, expectLine} = await startDaemon(context);
	writeSettings({shutdown: 'soon'});
	child.kill('SIGHUP');
	await expectLine(/"level":50.*settings-reloaded.*shutdown: found \\"soon\\"/);
	writeSettings({service: 'hall'});
	await expectLine(/settings-reloaded.*in force after a restart only: service/);
	child.kill('SIGTERM');
	const [code] = await once(child, 'exit') as [number | null];
	assert.equal(code, 0);
});
