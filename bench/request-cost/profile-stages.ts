/**
 * Attributes the samples of a CPU profile of a bundled node to the stages of its work.
 *
 * @module
 */

/** A call frame of a profile in the V8 format. */
export type ProfileNode = {
	readonly id: number;
	readonly callFrame: {readonly functionName: string; readonly url: string; readonly lineNumber: number};
	readonly children?: readonly number[];
};

/** A CPU profile in the V8 format. */
export type CpuProfile = {
	readonly nodes: readonly ProfileNode[];
	/** Ids of the nodes, one for each sample. */
	readonly samples: readonly number[];
	/** Microseconds since the previous sample. */
	readonly timeDeltas: readonly number[];
};

/** A stage of the work of a node. */
export type Stage = 'entry' | 'choice of a server' | 'link between nodes' | 'gate' | 'backend server' | 'membership' | 'configuration and store' | 'log and metrics' | 'garbage collection' | 'runtime' | 'other';

/** All stages, in the order of a request. */
export const stages: readonly Stage[] = ['entry', 'choice of a server', 'link between nodes', 'gate', 'backend server', 'membership', 'configuration and store', 'log and metrics', 'garbage collection', 'runtime', 'other'];

/** Patterns of source paths by stage. The first match counts. */
const stagePatterns: ReadonlyArray<readonly [RegExp, Stage]> = [
	[/forwarding\/(gate-client|peer-channel|frame|link-|peer-messages|gate-server|silent-connections|transfer-limit|byte-budget)/, 'link between nodes'],
	[/forwarding\/(local-gate|local-sessions|upload-limit|held-|crash-watch|hang-|foreign-)/, 'gate'],
	[/admission\/|decisions\/(slot-|priority-|fair-|reserved|held-|concurrency|server-requests|slowness|foreign)/, 'gate'],
	[/forwarding\/(exchange|server-|response-|answer-reader|chunked|convert-exchange|half-open)/, 'backend server'],
	[/server-notices\//, 'backend server'],
	[/forwarding\/(send-call|running-attempts|call-progress|outgoing-call|run-attempts)|decisions\/|sidecar\/(list-candidates|service-servers)/, 'choice of a server'],
	[/forwarding\//, 'entry'],
	[/workspaces\/|quotas\/|quarantine\/|rollout\//, 'entry'],
	[/peers\/|membership\/|local-server\/|sidecar\/(announcement|liveness|housekeeping|peer)/, 'membership'],
	[/timeline\/|metrics/, 'log and metrics'],
	[/route-config\/|sync\/|platform\/|sidecar\//, 'configuration and store'],
];

/** Lines with which the bundler marks the beginning of a source file. */
const sourceMark = /^\/\/ ((?:src|platform|apps|node_modules)\/\S+)$/;

/**
 * Finds the source file of each line of a bundle.
 *
 * @param bundle - Text of the bundle.
 * @returns The path of the source file by line, from 0; empty before the first one.
 */
export function listSourcePaths(bundle: string): readonly string[] {
	let path = '';
	return bundle.split('\n').map(line => {
		path = sourceMark.exec(line)?.[1] ?? path;
		return path;
	});
}

function chooseStage(path: string): Stage {
	return stagePatterns.find(([pattern]) => pattern.test(path))?.[1] ?? 'other';
}

/** Returns the source path of a frame in the bundle; `undefined` for a frame of the runtime. */
function findPath({callFrame: {url, lineNumber}}: ProfileNode, bundleName: string, paths: readonly string[]): string | undefined {
	return url.endsWith(bundleName) ? paths[lineNumber] : undefined;
}

/** Microseconds of a profile by stage and by source file. */
export type StageTimes = {
	readonly byStage: ReadonlyMap<Stage, number>;
	/** By source path and function. A frame of the runtime counts for the function of the bundle that called it. */
	readonly byFunction: ReadonlyMap<string, number>;
};

/** Names of frames in which the process waits. */
const idleNames: ReadonlySet<string> = new Set(['(idle)', '(root)']);

/**
 * Sums the times of a profile. A sample counts for the innermost function of the
 * bundle on its stack, so that what the runtime does for a stage is part of it.
 *
 * @param profile - The profile.
 * @param bundle - Text of the bundle.
 * @param bundleName - The end of its path.
 * @param skippedMicroseconds - The beginning of the profile that does not count, such as the start of the process.
 * @returns Microseconds by stage, without idle time.
 */
export function sumStageTimes({nodes, samples, timeDeltas}: CpuProfile, bundle: string, bundleName: string, skippedMicroseconds = 0): StageTimes {
	const paths = listSourcePaths(bundle);
	const owners = new Map<number, {readonly stage: Stage; readonly name: string} | undefined>();
	const byId = new Map(nodes.map(node => [node.id, node]));
	const visit = (node: ProfileNode, inherited: {readonly stage: Stage; readonly name: string}): void => {
		const {functionName} = node.callFrame;
		const path = findPath(node, bundleName, paths);
		let owner = inherited;
		if (functionName === '(garbage collector)') {
			owner = {stage: 'garbage collection', name: functionName};
		} else if (path !== undefined) {
			owner = {stage: chooseStage(path), name: `${path} ${functionName}`};
		}

		owners.set(node.id, idleNames.has(functionName) ? undefined : (owner.name === '' ? {stage: 'runtime', name: `${node.callFrame.url} ${functionName}`} : owner));
		for (const child of node.children ?? []) {
			visit(byId.get(child)!, owner);
		}
	};

	const [root] = nodes;
	if (root !== undefined) {
		visit(root, {stage: 'runtime', name: ''});
	}

	const byStage = new Map<Stage, number>();
	const byFunction = new Map<string, number>();
	let elapsed = 0;
	for (const [index, id] of samples.entries()) {
		const owner = owners.get(id);
		const microseconds = timeDeltas[index] ?? 0;
		elapsed += microseconds;
		if (owner === undefined || elapsed < skippedMicroseconds) {
			continue;
		}

		byStage.set(owner.stage, (byStage.get(owner.stage) ?? 0) + microseconds);
		byFunction.set(owner.name, (byFunction.get(owner.name) ?? 0) + microseconds);
	}

	return {byStage, byFunction};
}
