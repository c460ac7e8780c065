/**
 * `npm run bench -- request-cost`: measures the processor time of a request by stage,
 * in a mesh of real node processes, beside that of another revision of this
 * repository under the same load.
 *
 * @module
 */
import {execFileSync, fork} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, symlinkSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import process from 'node:process';
import {buildSync} from 'esbuild';
import {findProgram} from '../../demo/processes.js';
import {formatMarkdown} from '../statistics.js';
import {type MeshMeasurement, type MeshRunOptions} from './mesh-run.js';
import {stages} from './profile-stages.js';

export type RequestCostOptions = {
	/** Revision to compare with; empty for none. */
	readonly base: string;
	readonly rate: number;
	readonly seconds: number;
	readonly slots: number;
	readonly seed: number;
	/** Number of functions to list. */
	readonly functions: number;
};

/** Where the measured sources are, and the name of their column. */
type Candidate = {readonly name: string; readonly folder: string; readonly network: string};

/** Several times the size of the sources. */
const maxArchiveBytes = 268_435_456;

/** The command of the deploy file that starts a node. */
const runCommand = /^run = "node (.*) target\/sidecar\.cjs /m;

/** Reads the Node.js flags of nodes from the deploy file below a folder. Throws if it names none. */
export function readNodeFlags(folder: string): readonly string[] {
	const flags = runCommand.exec(readFileSync(join(folder, 'deploy/system.toml'), 'utf8'))?.[1];
	if (flags === undefined) {
		throw new Error(`${folder}/deploy/system.toml has no line that starts a node: run = "node FLAGS target/sidecar.cjs …"`);
	}

	return flags.split(' ');
}

/** Bundles the node below a folder as the deploy file does. */
export function buildBundle(folder: string, outfile: string): void {
	buildSync({
		absWorkingDir: resolve(folder), entryPoints: ['apps/sidecar/main.ts'], bundle: true, platform: 'node', target: 'node20', format: 'cjs', minifySyntax: true, outfile, logLevel: 'warning',
	});
}

/** Writes the sources of a revision into a folder. */
function checkOut(revision: string, folder: string): void {
	const archive = execFileSync('git', ['archive', revision, 'src', 'platform', 'apps', 'deploy', 'package.json'], {maxBuffer: maxArchiveBytes});
	execFileSync('tar', ['-x', '-C', folder], {input: archive});
	symlinkSync(resolve('node_modules'), join(folder, 'node_modules'));
}

/** Plays the load against one mesh, in a process of its own. */
export async function runMesh(options: MeshRunOptions): Promise<MeshMeasurement> {
	const child = fork(findProgram('bench/request-cost/mesh-run.js'));
	return new Promise((resolve, reject) => {
		child.once('message', message => {
			resolve(message as MeshMeasurement);
		});
		child.once('exit', code => {
			reject(new Error(`the process of the mesh exited with code ${code}`));
		});
		child.send(options);
	});
}

const formatShare = (shares: ReadonlyArray<readonly [string, number]>, name: string, cpuMs: number): string =>
	((new Map(shares).get(name) ?? 0) * cpuMs).toFixed(3);

function printTables(names: readonly string[], measurements: readonly MeshMeasurement[], functionCount: number): void {
	const rows = stages.map(stage => [stage, ...measurements.map(({stageShares, cpuMsPerRequest}) => formatShare(stageShares, stage, cpuMsPerRequest))]);
	console.log(formatMarkdown(['stage, ms a request', ...names], [...rows, ['all', ...measurements.map(({cpuMsPerRequest}) => cpuMsPerRequest.toFixed(3))], ['a bare request', ...measurements.map(({bareMsPerRequest}) => bareMsPerRequest.toFixed(3))], ['all, in bare requests', ...measurements.map(({cpuMsPerRequest, bareMsPerRequest}) => (cpuMsPerRequest / bareMsPerRequest).toFixed(1))]]));
	console.log('');
	console.log(formatMarkdown(['revision', 'kind', 'sent', 'in time', 'late', 'refused', 'failed'], measurements.flatMap(({kinds}, index) =>
		kinds.map(kind => [names[index]!, kind.kind, kind.sent, kind.inTime, kind.late, kind.refused, kind.failed].map(String)))));
	if (functionCount > 0) {
		const listed = measurements[0]!.functionShares.slice(0, functionCount).map(([name]) => name);
		console.log('');
		console.log(formatMarkdown(['function, ms a request', ...names], listed.map(name => [name, ...measurements.map(({functionShares, cpuMsPerRequest}) => formatShare(functionShares, name, cpuMsPerRequest))])));
	}
}

/**
 * Measures the working tree and the other revision at the same time, and prints a table of stages.
 *
 * @param options - The load and the other revision.
 */
export async function runRequestCost(options: RequestCostOptions): Promise<void> {
	const scratch = mkdtempSync(join(tmpdir(), 'stonemoor-request-cost-'));
	const offset = process.pid % 120;
	try {
		const candidates: Candidate[] = [{name: 'this tree', folder: resolve('.'), network: `127.${offset}`}];
		if (options.base !== '') {
			checkOut(options.base, scratch);
			candidates.push({name: options.base, folder: scratch, network: `127.${offset + 120}`});
		}

		const measurements = await Promise.all(candidates.map(async ({folder, network}, index) => {
			const program = join(scratch, `sidecar-${index}.cjs`);
			buildBundle(folder, program);
			return runMesh({
				program, flags: readNodeFlags(folder), network, slots: options.slots, rate: options.rate, seconds: options.seconds, seed: options.seed,
			});
		}));
		printTables(candidates.map(({name}) => name), measurements, options.functions);
	} finally {
		rmSync(scratch, {recursive: true});
	}
}
