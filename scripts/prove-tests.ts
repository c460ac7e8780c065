/**
 * `npm run prove`: plants the faults of `faults.ts` one at a time in the compiled
 * code, and checks that the tests fail. Exits with code 1 if they pass with a fault.
 *
 * It works on a copy of the build and does not change the project. Words after
 * `npm run prove --` select the faults whose promise contains one of them.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import {
	cpSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {faults, type Fault} from './faults.js';

const faultyBuildFolder = 'dist-faulty';

/** Tests that a fault makes hang are stopped and count as failed. The limit is about ten times the duration of the slowest tests. */
const testTimeoutMs = 120_000;

/** Returns whether the tests of a folder pass on the copy of the build. */
async function runTests(folder: string): Promise<boolean> {
	const child = spawn(process.execPath, ['--test', `${faultyBuildFolder}/${folder}`], {stdio: 'ignore', timeout: testTimeoutMs, killSignal: 'SIGKILL'});
	return new Promise(resolve => {
		child.once('exit', code => {
			resolve(code === 0);
		});
	});
}

/** Plants a fault, runs its tests, and removes it. Returns whether the tests failed. */
async function checkFaultIsNoticed(fault: Fault): Promise<boolean> {
	const path = `${faultyBuildFolder}/${fault.file}`;
	const original = readFileSync(path, 'utf8');
	if (!original.includes(fault.from)) {
		process.stdout.write(`not found  ${fault.promise}: ${fault.file} does not contain the line to replace; correct its entry in scripts/faults.ts\n`);
		return false;
	}

	writeFileSync(path, original.replace(fault.from, fault.to));
	const isUnnoticed = await runTests(fault.tests);
	writeFileSync(path, original);
	process.stdout.write(`${isUnnoticed ? 'UNNOTICED' : 'noticed  '}  ${fault.promise}\n`);
	return !isUnnoticed;
}

rmSync(faultyBuildFolder, {recursive: true, force: true});
cpSync('dist', faultyBuildFolder, {recursive: true});
const words = process.argv.slice(2);
const chosen = words.length === 0 ? faults : faults.filter(({promise}) => words.some(word => promise.includes(word)));
let noticed = 0;
for (const fault of chosen) {
	if (await checkFaultIsNoticed(fault)) {
		noticed++;
	}
}

rmSync(faultyBuildFolder, {recursive: true, force: true});
process.stdout.write(`${noticed} of ${chosen.length} faults were noticed\n`);
process.exitCode = noticed === chosen.length && chosen.length > 0 ? 0 : 1;
