/**
 * Plays the plan of a soak and checks the promises while it runs.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {applyFault, findScope, type FaultScope} from './apply-fault.js';
import {startCallers} from './callers.js';
import {recoveryMs} from './checks/check-processes.js';
import {findViolations, type CheckSettings} from './checks/find-violations.js';
import {type SoakPlan} from './plan.js';
import {
	type CallRecord, type ChangeRecord, type Disturbance, type SoakRecord, type Violation,
} from './record.js';
import {createSoakConfig} from './soak-config.js';
import {startSoakMesh, type SoakMesh} from './soak-mesh.js';

/** What a soak ends with. */
export type SoakOutcome = {
	readonly plan: SoakPlan;
	readonly startedAt: number;
	readonly record: SoakRecord;
	readonly violations: readonly Violation[];
	/** Servers that were given no work at the end; told and not judged. */
	readonly idleServers: readonly string[];
	readonly logFiles: readonly string[];
};

export type SoakOptions = {
	/** Where settings and logs go. */
	readonly folder: string;
	/** Milliseconds until a change has to be in force at calm nodes. */
	readonly applyMs: number;
	/** Told of each broken promise when it is found. */
	readonly tell: (text: string) => void;
};

/** Between two looks at the promises while it runs. Milliseconds. */
const checkPeriodMs = 3000;

/** How long callers go on after the time for recovery. Milliseconds: each service is asked for many times. */
const calmMs = 4000;

/** What is seen while it runs. */
type Notebook = {
	readonly calls: CallRecord[];
	readonly changes: ChangeRecord[];
	readonly disturbances: Disturbance[];
	lastFaultAt: number;
};

const openEnd = Number.POSITIVE_INFINITY;

/** Servers misbehave on requests that come after the fault was asked for. Milliseconds. */
const misbehaviourMs = 30_000;

/** Writes a fault down as a disturbance while it lasts. */
async function noteWhile(notebook: Notebook, what: string, scope: FaultScope | undefined, act: () => Promise<void>): Promise<void> {
	if (scope === undefined) {
		await act();
		return;
	}

	const from = Date.now();
	const index = notebook.disturbances.length;
	notebook.disturbances.push({
		...scope, what, from, to: openEnd,
	});
	await act();
	const to = Date.now() + (what === 'server-misbehave' ? misbehaviourMs : 0);
	notebook.disturbances[index] = {
		...scope, what, from, to,
	};
	notebook.lastFaultAt = Math.max(notebook.lastFaultAt, Date.now());
}

function buildRecord(mesh: SoakMesh, notebook: Notebook, ending: SoakRecord['ending']): SoakRecord {
	const {calls, changes, disturbances} = notebook;
	return {
		calls, changes, disturbances, ending,
		runs: mesh.vms.flatMap(({server}) => server.listRuns()),
		drains: mesh.vms.flatMap(({server}) => server.listDrains()),
		lifetimes: mesh.vms.flatMap(({node}) => node.lifetimes),
	};
}

async function writeChanges(mesh: SoakMesh, plan: SoakPlan, notebook: Notebook, startedAt: number): Promise<void> {
	for (const [index, atMs] of plan.changesAtMs.entries()) {
		await sleep(Math.max(0, startedAt + atMs - Date.now()));
		mesh.store.putConfig(createSoakConfig(index + 1));
		notebook.changes.push({index: index + 1, writtenAt: Date.now()});
	}
}

async function applyFaults(mesh: SoakMesh, plan: SoakPlan, notebook: Notebook, startedAt: number): Promise<void> {
	await Promise.all(plan.faults.map(async fault => {
		await sleep(Math.max(0, startedAt + fault.atMs - Date.now()));
		await noteWhile(notebook, fault.type, findScope(fault), async () => applyFault(mesh, fault));
	}));
}

/** Looks at the promises again and again; tells each that is broken once. */
async function watchPromises(look: () => readonly Violation[], tell: (text: string) => void, signal: AbortSignal): Promise<void> {
	const told = new Set<string>();
	while (!signal.aborted) {
		await sleep(checkPeriodMs);
		for (const {promise, what} of look()) {
			if (!told.has(what)) {
				told.add(what);
				tell(`BROKEN  ${promise}: ${what}`);
			}
		}
	}
}

async function listReady(mesh: SoakMesh): Promise<ReadonlyMap<string, boolean>> {
	return new Map(await Promise.all(mesh.vms.map(async ({node}) => [node.name, await node.isReady()] as const)));
}

/**
 * Plays a soak.
 *
 * @param plan - What is played.
 * @param options - How.
 * @returns What was seen, and which promises were broken.
 */
export async function runSoak(plan: SoakPlan, options: SoakOptions): Promise<SoakOutcome> {
	const mesh = await startSoakMesh(plan.nodes, options.folder, createSoakConfig(0));
	const startedAt = Date.now();
	const notebook: Notebook = {
		calls: [], changes: [{index: 0, writtenAt: startedAt}], disturbances: [], lastFaultAt: startedAt,
	};
	const settings: CheckSettings = {applyMs: options.applyMs, getService: name => mesh.vms.find(({node}) => node.name === name)?.service ?? ''};
	const callers = mesh.vms.map(({node}, index) => startCallers({
		node: node.name, address: node.callers, seed: (plan.seed * 100) + index, getNewest: () => notebook.changes.length - 1,
		handleCall(call) {
			notebook.calls.push(call);
		},
	}));
	const stopped = new AbortController();
	const watching = watchPromises(() => findViolations(buildRecord(mesh, notebook, undefined), settings), options.tell, stopped.signal);
	const playing = [writeChanges(mesh, plan, notebook, startedAt), applyFaults(mesh, plan, notebook, startedAt)];
	await Promise.all(playing);
	const endsAt = Math.max(startedAt + (plan.seconds * 1000), notebook.lastFaultAt + recoveryMs + calmMs);
	await sleep(Math.max(0, endsAt - Date.now()));
	await Promise.all(callers.map(async one => one.stop()));
	stopped.abort();
	await watching;
	const ready = await listReady(mesh);
	const record = buildRecord(mesh, notebook, {lastFaultAt: notebook.lastFaultAt, ready});
	const outcome: SoakOutcome = {
		plan, startedAt, record, violations: findViolations(record, settings),
		idleServers: mesh.vms.filter(({server}) => server.countRunsSince(endsAt - calmMs) === 0).map(({node}) => node.name),
		logFiles: mesh.vms.map(({node}) => node.logFile),
	};
	await mesh.close();
	return outcome;
}
