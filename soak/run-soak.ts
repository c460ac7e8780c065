/**
 * Runs the plan of a soak and checks the promises while it runs.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {applyFault, getFaultScope, type FaultScope} from './apply-fault.js';
import {startCallers} from './callers.js';
import {maxRecoveryMs} from './checks/check-processes.js';
import {findViolations, type CheckSettings} from './checks/find-violations.js';
import {type SoakPlan} from './plan.js';
import {
	type CallRecord, type ChangeRecord, type Disturbance, type SoakRecord, type Violation,
} from './record.js';
import {createSoakConfig} from './soak-config.js';
import {startSoakMesh, type SoakMesh} from './soak-mesh.js';

/** The result of a soak. */
export type SoakOutcome = {
	readonly plan: SoakPlan;
	readonly startedAt: number;
	readonly record: SoakRecord;
	readonly violations: readonly Violation[];
	/** Nodes whose backend servers executed no requests at the end. Reported, but not a violation. */
	readonly idleServers: readonly string[];
	readonly logFiles: readonly string[];
};

export type SoakOptions = {
	/** The folder for settings and logs. */
	readonly folder: string;
	/** Time within which a configuration has to be in force at undisturbed nodes. */
	readonly applyMs: number;
	/** Called with the text of each violation when it is found. */
	readonly reportViolation: (text: string) => void;
};

/** Interval of the checks while the soak runs. */
const checkIntervalMs = 3000;

/** How long callers continue after the recovery time: long enough that each service gets many requests. */
const postRecoveryMs = 4000;

/** What the soak observes while it runs. */
type Observations = {
	readonly calls: CallRecord[];
	readonly changes: ChangeRecord[];
	readonly disturbances: Disturbance[];
	lastFaultAt: number;
};

/** End of a disturbance that is not over. */
const ongoing = Number.POSITIVE_INFINITY;

/** How long after `server-misbehave` a server counts as disturbed: it misbehaves on its next requests, which arrive later. */
const misbehaviourWindowMs = 30_000;

/** Applies a fault, and records it as a disturbance while it lasts. */
async function recordDisturbance(observations: Observations, what: string, scope: FaultScope | undefined, apply: () => Promise<void>): Promise<void> {
	if (scope === undefined) {
		await apply();
		return;
	}

	const from = Date.now();
	const index = observations.disturbances.length;
	observations.disturbances.push({
		...scope, what, from, to: ongoing,
	});
	await apply();
	const to = Date.now() + (what === 'server-misbehave' ? misbehaviourWindowMs : 0);
	observations.disturbances[index] = {
		...scope, what, from, to,
	};
	observations.lastFaultAt = Math.max(observations.lastFaultAt, Date.now());
}

function buildRecord(mesh: SoakMesh, observations: Observations, ending: SoakRecord['ending']): SoakRecord {
	const {calls, changes, disturbances} = observations;
	return {
		calls, changes, disturbances, ending,
		runs: mesh.vms.flatMap(({server}) => server.listRuns()),
		drains: mesh.vms.flatMap(({server}) => server.listDrains()),
		limits: mesh.vms.flatMap(({server}) => server.listLimits()),
		hangs: mesh.vms.flatMap(({server}) => server.listHangs()),
		lifetimes: mesh.vms.flatMap(({node}) => node.lifetimes),
	};
}

async function writeConfigChanges(mesh: SoakMesh, plan: SoakPlan, observations: Observations, startedAt: number): Promise<void> {
	for (const [index, atMs] of plan.changesAtMs.entries()) {
		await sleep(Math.max(0, startedAt + atMs - Date.now()));
		mesh.store.putConfig(createSoakConfig(index + 1));
		observations.changes.push({index: index + 1, writtenAt: Date.now()});
	}
}

async function applyFaults(mesh: SoakMesh, plan: SoakPlan, observations: Observations, startedAt: number): Promise<void> {
	await Promise.all(plan.faults.map(async fault => {
		await sleep(Math.max(0, startedAt + fault.atMs - Date.now()));
		await recordDisturbance(observations, fault.type, getFaultScope(fault), async () => applyFault(mesh, fault));
	}));
}

/** Checks the promises periodically until the signal aborts, and reports each violation once. */
async function checkPeriodically(findCurrentViolations: () => readonly Violation[], reportViolation: (text: string) => void, signal: AbortSignal): Promise<void> {
	const reported = new Set<string>();
	while (!signal.aborted) {
		await sleep(checkIntervalMs);
		for (const {promise, what} of findCurrentViolations()) {
			if (!reported.has(what)) {
				reported.add(what);
				reportViolation(`BROKEN  ${promise}: ${what}`);
			}
		}
	}
}

async function getReadinessByNode(mesh: SoakMesh): Promise<ReadonlyMap<string, boolean>> {
	return new Map(await Promise.all(mesh.vms.map(async ({node}) => [node.name, await node.isReady()] as const)));
}

/**
 * Runs a soak.
 *
 * @param plan - The plan.
 * @param options - Folder, time limit and reporting.
 * @returns What was observed, and which promises were broken.
 */
export async function runSoak(plan: SoakPlan, options: SoakOptions): Promise<SoakOutcome> {
	const calls: CallRecord[] = [];
	const handleCall = (call: CallRecord): void => {
		calls.push(call);
	};

	const mesh = await startSoakMesh(plan.nodes, options.folder, createSoakConfig(0), handleCall);
	const startedAt = Date.now();
	const observations: Observations = {
		calls, changes: [{index: 0, writtenAt: startedAt}], disturbances: [], lastFaultAt: startedAt,
	};
	const settings: CheckSettings = {applyMs: options.applyMs, getNodeService: name => mesh.vms.find(({node}) => node.name === name)?.service ?? ''};
	const callers = mesh.vms.map(({node}, index) => startCallers({
		node: node.name, address: node.callerAddress, seed: (plan.seed * 100) + index, getNewestConfigIndex: () => observations.changes.length - 1,
		handleCall,
	}));
	const checkController = new AbortController();
	const checking = checkPeriodically(() => findViolations(buildRecord(mesh, observations, undefined), settings), options.reportViolation, checkController.signal);
	const playing = [writeConfigChanges(mesh, plan, observations, startedAt), applyFaults(mesh, plan, observations, startedAt)];
	await Promise.all(playing);
	const endsAt = Math.max(startedAt + (plan.seconds * 1000), observations.lastFaultAt + maxRecoveryMs + postRecoveryMs);
	await sleep(Math.max(0, endsAt - Date.now()));
	await Promise.all(callers.map(async nodeCallers => nodeCallers.stop()));
	checkController.abort();
	await checking;
	const ready = await getReadinessByNode(mesh);
	const record = buildRecord(mesh, observations, {lastFaultAt: observations.lastFaultAt, ready});
	const outcome: SoakOutcome = {
		plan, startedAt, record, violations: findViolations(record, settings),
		idleServers: mesh.vms.filter(({server}) => server.countRunsSince(endsAt - postRecoveryMs) === 0).map(({node}) => node.name),
		logFiles: mesh.vms.map(({node}) => node.logFile),
	};
	await mesh.close();
	return outcome;
}
