/**
 * Runs the daemon and the command line as processes, and checks their error
 * messages and exit codes.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect, createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import test from 'node:test';
import {startProcess} from '../demo/processes.js';
import {parseAddress} from '../src/lib/common/address.js';
import {toAddress} from '../src/lib/common/ids.js';
import {createListenAddresses} from '../stand-ins/loopback-addresses.js';
import {waitUntil} from '../stand-ins/wait-until.js';

type Ended = {readonly code: number | undefined; readonly output: string};

async function runProgram(program: string, ...parameters: readonly string[]): Promise<Ended> {
	const running = startProcess(program, program, parameters);
	const code = await running.waitForExit();
	return {code, output: running.getOutput()};
}

async function withFile(text: string, use: (file: string) => Promise<void>): Promise<void> {
	const folder = await mkdtemp(join(tmpdir(), 'stonemoor-apps-'));
	const file = join(folder, 'input.yaml');
	await writeFile(file, text);
	try {
		await use(file);
	} finally {
		await rm(folder, {recursive: true});
	}
}

const nodeProgram = 'apps/node/main.js';
const cliProgram = 'apps/cli/main.js';

/** A loopback address that only this file uses. On a shared address, a connection of another test may take a port that was just free, and the daemon ends with code 3. */
const ownHost = `127.81.${process.pid % 250}.1`;

function createSettingsText(changes: Readonly<Record<string, string>> = {}): string {
	const listen = Object.entries({...createListenAddresses(ownHost), ...changes}).map(([name, address]) => `  ${name}: ${address}`).join('\n');
	return `node: n1\nfailureDomain: a\nlisten:\n${listen}\nstore: {address: "127.0.0.1:9"}\n`;
}

/** Much longer than a start takes, also under load. */
const maximumWaitMs = 30_000;

async function isListening(address: string): Promise<boolean> {
	const {host, port} = parseAddress(toAddress(address));
	return new Promise(resolve => {
		const socket = connect(port, host);
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}

test('the daemon reports all errors in its settings and exits with code 2', async () => {
	await withFile('node: n1\nfailureDomain: a\nlissten: {}\n', async file => {
		const {code, output} = await runProgram(nodeProgram, '--settings', file);
		assert.equal(code, 2);
		assert.match(output, /input\.yaml:3:1: lissten: unknown key "lissten"; remove it or correct its spelling/);
		assert.match(output, /listen: found nothing/);
	});
	assert.equal((await runProgram(nodeProgram, '--settings', '/nowhere.yaml')).code, 2);
});

test('a port in use is reported in one line, with exit code 3', async () => {
	const blockingServer = createServer();
	await new Promise<void>(resolve => {
		blockingServer.listen(0, '127.0.0.1', resolve);
	});
	await withFile(createSettingsText({announcements: `127.0.0.1:${(blockingServer.address() as AddressInfo).port}`}), async file => {
		const {code, output} = await runProgram(nodeProgram, '--settings', file);
		assert.equal(code, 3);
		assert.match(output, /listen\.announcements: cannot listen on 127\.0\.0\.1:\d+: another process uses this port; stop that process or choose another port/);
	});
	blockingServer.close();
});

test('the daemon keeps running if the store does not answer, and exits with code 0 on SIGTERM', async () => {
	await withFile(createSettingsText(), async file => {
		const running = startProcess('node', nodeProgram, ['--settings', file]);
		assert.equal(await waitUntil(async () => isListening(createListenAddresses(ownHost).operators), maximumWaitMs), true, running.getOutput());
		assert.equal(running.child.exitCode, null);
		assert.match(running.getOutput(), /node-started/);
		running.child.kill('SIGTERM');
		assert.equal(await running.waitForExit(), 0);
	});
});

test('the command line checks documents offline, and exits with the documented codes', async () => {
	await withFile('pools:\n  - {name: a, service: s}\n', async file => {
		assert.deepEqual(await runProgram(cliProgram, 'check', file, '--json'), {code: 0, output: '{"items":1,"warnings":0}\n'});
		const unreachable = await runProgram(cliProgram, 'submit', file, '--node', '127.0.0.1:9');
		assert.equal(unreachable.code, 3);
		assert.match(unreachable.output, /node 127\.0\.0\.1:9 does not answer/);
	});
	await withFile('routes:\n  - {name: r, pool: a, policy: p}\npools:\n  - {name: b, service: s}\n', async file => {
		const warned = await runProgram(cliProgram, 'check', file);
		assert.equal(warned.code, 0);
		assert.match(warned.output, /warning: .*input\.yaml:2:21: route\/r pool: the file does not hold pool\/a/);
		assert.match(warned.output, /route\/r policy: the file does not hold policy\/p/);
		assert.equal((await runProgram(cliProgram, 'check', file, '--whole')).code, 1);
	});
	await withFile('policies:\n  - {name: p, decision: "1 +"}\n', async file => {
		const {code, output} = await runProgram(cliProgram, 'check', file);
		assert.equal(code, 1);
		assert.match(output, /policy\/p decision/);
	});
	assert.equal((await runProgram(cliProgram, 'stat')).code, 2);
	assert.equal((await runProgram(cliProgram, 'status')).code, 2);
	assert.match((await runProgram(cliProgram, '--help')).output, /stonemoor submit <file>/);
});
