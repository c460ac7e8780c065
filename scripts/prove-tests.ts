/**
 * `npm run prove`: takes away, one at a time, what each promise rests on, and
 * checks that a test notices. A fault that no test notices ends it with code 1.
 *
 * It works on a copy of the build; nothing of the project is changed. Words after
 * `npm run prove --` choose the promises that contain one of them.
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

/** A fault may make its tests run for ever; that is noticed as well. Milliseconds: some ten times what the slowest tests take. */
const testTimeoutMs = 120_000;

async function runTests(folder: string): Promise<boolean> {
	const child = spawn(process.execPath, ['--test', `${faultyBuildFolder}/${folder}`], {stdio: 'ignore', timeout: testTimeoutMs, killSignal: 'SIGKILL'});
	return new Promise(resolve => {
		child.once('exit', code => {
			resolve(code === 0);
		});
	});
}

async function checkFaultIsNoticed(fault: Fault): Promise<boolean> {
	const path = `${faultyBuildFolder}/${fault.file}`;
	const original = readFileSync(path, 'utf8');
	if (!original.includes(fault.from)) {
		process.stdout.write(`not found  ${fault.promise}: ${fault.file} has changed; correct the list\n`);
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
