import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test, {type TestContext} from 'node:test';
import {startLoggedProcess, type LoggedProcess} from './logged-process.js';

async function startScript(context: TestContext, script: string): Promise<LoggedProcess> {
	const directory = await mkdtemp(join(tmpdir(), 'stonemoor-logged-'));
	const started = startLoggedProcess(['--eval', script], join(directory, 'output'));
	context.after(async () => {
		started.child.kill('SIGKILL');
		await started.exited;
		await rm(directory, {recursive: true});
	});
	return started;
}

// Guards against a process that ends by itself and leaves no trace of why.
test('the error about a process that ended shows its exit code, its last log lines and its uncaught exception', async context => {
	const {assertRunning, exited} = await startScript(context, 'console.log("last log line"); setTimeout(() => { throw new Error("nobody catches this"); }, 1);');
	await exited;
	assert.throws(assertRunning, /code 1 and signal null[^]*last log line[^]*Error: nobody catches this\n {4}at /);
});

// Guards against a signal that is taken for an exit by itself.
test('the error about a process that a signal ended names the signal', async context => {
	const {child, assertRunning, exited} = await startScript(context, 'setInterval(() => {}, 1000);');
	assertRunning();
	child.kill('SIGABRT');
	await exited;
	assert.throws(assertRunning, /code null and signal SIGABRT/);
});
