/**
 * `npm run prove`: takes away, one at a time, what each promise rests on, and
 * checks that a test notices. A fault that no test notices ends it with code 1.
 *
 * It works on a copy of the build; nothing of the project is changed.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import {
	cpSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';

type Fault = {
	readonly promise: string;
	/** A compiled file, below the build folder. */
	readonly file: string;
	readonly from: string;
	readonly to: string;
	/** The tests that must notice, below the build folder. */
	readonly tests: string;
};

const copy = 'dist-faulty';
const library = 'src/lib';

const faults: readonly Fault[] = [
	{
		promise: 'a lower version is never taken over',
		file: `${library}/distribution/configuration-keeper.js`,
		from: 'if (next.version <= configuration.version) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a step is applied only with the digest that it names',
		file: `${library}/configuration/configuration.js`,
		from: 'if (next.digest !== delta.digest) {',
		to: 'if (false) {',
		tests: `${library}/configuration`,
	},
	{
		promise: 'a step is applied only to its own parent',
		file: `${library}/configuration/configuration.js`,
		from: 'if (delta.parentDigest !== configuration.digest) {',
		to: 'if (false) {',
		tests: `${library}/configuration`,
	},
	{
		promise: 'an image is applied only with the digest that it names',
		file: `${library}/configuration/configuration.js`,
		from: 'if (computeChainDigest(image.version, image.parentDigest, tree.root) !== image.digest) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'no route points at what the version lacks',
		file: `${library}/configuration/evaluate-submission.js`,
		from: 'return problems.length === 0 ?',
		to: 'return true ?',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a lost answer is settled by the submission\'s id',
		file: `${library}/configuration/evaluate-submission.js`,
		from: 'if (known !== undefined) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'an older base revision is a conflict',
		file: `${library}/configuration/evaluate-submission.js`,
		from: 'if (conflicts.length > 0) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a doubtful write is told as unknown',
		file: `${library}/distribution/accept-submissions.js`,
		from: 'isInDoubt: true',
		to: 'isInDoubt: false',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a store that came back older is refused',
		file: `${library}/distribution/read-head.js`,
		from: 'if (storeVersion < configuration.version) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a node serves only what is not older than it had',
		file: `${library}/membership/joiner.js`,
		from: 'isHelped && configuration.getConfiguration().version >= configuration.getFloor()',
		to: 'true',
		tests: `${library}/membership`,
	},
	{
		promise: 'what may have run and may not be repeated is not sent again',
		file: `${library}/calls/run-attempts.js`,
		from: 'verdict === \'not-run\' || decision.isRepeatable',
		to: 'true',
		tests: 'scenarios',
	},
	{
		promise: 'a lost connection may have run the request',
		file: `${library}/calls/attempt.js`,
		from: 'return createFailure(\'may-have-run\', \'connection-lost\'',
		to: 'return createFailure(\'not-run\', \'connection-lost\'',
		tests: 'scenarios',
	},
	{
		promise: 'an idempotency key lets one request through',
		file: `${library}/calls/once-fence.js`,
		from: 'if (record !== undefined && record.state !== \'released\') {',
		to: 'if (false) {',
		tests: `${library}/calls`,
	},
	{
		promise: 'a draining gate takes no new work',
		file: `${library}/admission/gate.js`,
		from: 'if (isDraining) {',
		to: 'if (false) {',
		tests: `${library}/admission`,
	},
	{
		promise: 'slots are exact',
		file: `${library}/admission/gate-state.js`,
		from: 'if (total >= state.slots) {',
		to: 'if (total > state.slots) {',
		tests: `${library}/admission`,
	},
	{
		promise: 'a shut down cuts off nothing in flight',
		file: `${library}/drain/drain-node.js`,
		from: 'while (countCalls() > 0',
		to: 'while (false',
		tests: `${library}/drain`,
	},
	{
		promise: 'records merge in any order',
		file: `${library}/directory/node-record.js`,
		from: 'return nodeStatuses.indexOf(left.status) - nodeStatuses.indexOf(right.status);',
		to: 'return 1;',
		tests: `${library}/directory`,
	},
];

async function runTests(folder: string): Promise<boolean> {
	const child = spawn(process.execPath, ['--test', `${copy}/${folder}`], {stdio: 'ignore'});
	return new Promise(resolve => {
		child.once('exit', code => {
			resolve(code === 0);
		});
	});
}

async function proveFault(fault: Fault): Promise<boolean> {
	const path = `${copy}/${fault.file}`;
	const sound = readFileSync(path, 'utf8');
	if (!sound.includes(fault.from)) {
		process.stdout.write(`not found  ${fault.promise}: ${fault.file} has changed; correct the list\n`);
		return false;
	}

	writeFileSync(path, sound.replace(fault.from, fault.to));
	const isUnnoticed = await runTests(fault.tests);
	writeFileSync(path, sound);
	process.stdout.write(`${isUnnoticed ? 'UNNOTICED' : 'noticed  '}  ${fault.promise}\n`);
	return !isUnnoticed;
}

rmSync(copy, {recursive: true, force: true});
cpSync('dist', copy, {recursive: true});
let noticed = 0;
for (const fault of faults) {
	if (await proveFault(fault)) {
		noticed++;
	}
}

rmSync(copy, {recursive: true, force: true});
process.stdout.write(`${noticed} of ${faults.length} faults were noticed\n`);
process.exitCode = noticed === faults.length ? 0 : 1;
