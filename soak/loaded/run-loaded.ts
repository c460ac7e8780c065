/**
 * Runs a loaded mesh while nodes are stopped, servers are replaced and the configuration changes.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomLcg} from 'd3-random';
import {startPlatformStore} from '../../stand-ins/platform-store/platform-store.js';
import {type Lifetime, type Violation} from '../record.js';
import {startLoadedCallers, type LoadedCall} from './loaded-callers.js';
import {checkLoaded, checkRepeatedRuns} from './check-loaded.js';
import {checkLost, type LoadedDisturbance, type LoadedStop} from './check-lost.js';
import {explainConnection} from './connection-watch.js';
import {watchLoop, type LoopDelay} from './loop-delays.js';
import {createLoadedConfig, vmLayout} from './loaded-config.js';
import {type LoadedRun} from './loaded-run.js';
import {startLoadedVm, type LoadedVm} from './loaded-vm.js';
import {startProcessorQuota} from './processor-quota.js';
import {applyTroubles, getControls} from './troubles/troubles.js';

export type LoadedOptions = {
	readonly seed: number;
	readonly seconds: number;
	/** Requests of callers per second, at the usual load. */
	readonly perSecond: number;
	/** Factor of the load in bursts. */
	readonly burst: number;
	/** Share of a core that each node may use. */
	readonly processorShare: number;
	/** Slots of each server. */
	readonly slots: number;
	/** Names of the troubles beside the events. */
	readonly troubleNames: readonly string[];
	readonly folder: string;
};

export type LoadedOutcome = {
	readonly calls: readonly LoadedCall[];
	/** Calls that servers made for requests that they executed. */
	readonly nestedCalls: readonly LoadedCall[];
	readonly runs: readonly LoadedRun[];
	readonly stops: readonly LoadedStop[];
	/** The processes of the nodes. */
	readonly lifetimes: readonly Lifetime[];
	/** Times at which the soak itself was late, which includes its callers, links, servers and store. */
	readonly loopDelays: readonly LoopDelay[];
	readonly disturbances: readonly LoadedDisturbance[];
	/** How often each trouble was applied. */
	readonly troubleCounts: ReadonlyMap<string, number>;
	readonly violations: readonly Violation[];
	/** Names of the nodes whose processes ended by themselves, or not in time. */
	readonly failedNodes: readonly string[];
};

/** Returns a loopback IP address that depends on the process id, so that soaks that run at the same time do not share addresses. */
const createHost = (index: number): string => `127.${28 + (Math.floor(process.pid / 250) % 20)}.${process.pid % 250}.${index + 1}`;

/** Time before the first and after the last event. */
const quietMs = 3000;

const minEventIntervalMs = 500;
const maxEventIntervalMs = 2500;

/** Mean time between two changes of the load. */
const loadIntervalMs = 4000;

/** How long servers serve after they announced that they leave. */
const minServesMs = 2000;
const maxServesMs = 4000;

/**
 * Runs a loaded mesh.
 *
 * @param options - Load and duration.
 * @returns What was observed.
 */
export async function runLoaded(options: LoadedOptions): Promise<LoadedOutcome> {
	const {seed, seconds, perSecond, burst, processorShare, slots, troubleNames, folder} = options;
	const random = randomLcg(((seed * 2_654_435_761) % 4_294_967_296) / 4_294_967_296);
	// Troubles draw their own numbers, so that they leave the events and the load of a seed as they are.
	const troubleRandom = randomLcg(((seed * 2_246_822_519) % 4_294_967_296) / 4_294_967_296);
	const answerFaultNames = new Set<string>();
	const disturbances: LoadedDisturbance[] = [];
	const pickInteger = (below: number): number => Math.floor(random() * below);
	const loop = watchLoop();
	const store = await startPlatformStore();
	store.putConfig(createLoadedConfig(0));
	const runs: LoadedRun[] = [];
	const calls: LoadedCall[] = [];
	const nestedCalls: LoadedCall[] = [];
	const vms = await Promise.all(vmLayout.map(async ({service, failureDomain}, index) => startLoadedVm({
		store, folder, name: `n${index}`, service, failureDomain, host: createHost(index), slots, random, runs, answerFaultNames, controls: getControls(troubleNames),
		handleCall(call) {
			nestedCalls.push(call);
		},
	})));
	await Promise.all(vms.map(async ({node}) => node.waitUntilReady()));
	const quota = startProcessorQuota(processorShare);
	const quotaTimer = setInterval(() => {
		quota.setProcesses(vms.flatMap(({node}) => node.getProcessId() ?? []));
	}, 50);
	const callers = startLoadedCallers(vms, perSecond, random, call => {
		calls.push(call);
	});
	const endsAt = Date.now() + (seconds * 1000);
	const events = new Set<Promise<void>>();
	let configs = 0;

	const createEvent = async (vm: LoadedVm): Promise<void> => {
		switch (pickInteger(6)) {
			case 0:
			case 1: {
				await vm.node.stopAndRestart(300);
				break;
			}

			case 2:
			case 3: {
				await vm.replaceServer({saysDraining: pickInteger(3) > 0, servesMs: minServesMs + pickInteger(maxServesMs - minServesMs), stopsNode: true});
				break;
			}

			case 4: {
				await vm.node.reloadSettings(2, false);
				break;
			}

			default: {
				configs++;
				store.putConfig(createLoadedConfig(configs));
			}
		}
	};

	const changeLoad = async (): Promise<void> => {
		while (Date.now() < endsAt) {
			await sleep(loadIntervalMs * (0.5 + random()));
			callers.setRate(perSecond * (pickInteger(2) === 0 ? 1 : burst));
		}
	};

	const changingLoad = changeLoad();
	await sleep(quietMs);
	const applyingTroubles = applyTroubles(troubleNames, {
		vms, store, callers, answerFaultNames, random: troubleRandom,
		changeConfig() {
			configs++;
			store.putConfig(createLoadedConfig(configs));
		},
		addDisturbance(disturbance) {
			disturbances.push(disturbance);
		},
	}, endsAt - quietMs);
	while (Date.now() < endsAt - quietMs) {
		const event = createEvent(vms[pickInteger(vms.length)]!);
		events.add(event);
		await sleep(minEventIntervalMs + pickInteger(maxEventIntervalMs - minEventIntervalMs));
	}

	await Promise.all(events);
	const troubleCounts = await applyingTroubles;
	await changingLoad;
	await callers.stop();
	clearInterval(quotaTimer);
	await quota.stop();
	const failedNodes = vms.filter(({node}) => node.lifetimes.some(({end}) => end.type === 'unasked' || (end.type === 'stopped' && end.wasReady && end.code !== 0))).map(({node}) => node.name);
	const stops = vms.flatMap(({node}): readonly LoadedStop[] => node.lifetimes.flatMap(({end}) => end.type === 'stopped' ? [{node: node.name, at: end.askedAt}] : []));
	await Promise.all(vms.map(async vm => vm.close()));
	await store.close();
	const loopDelays = loop.stop();
	const allCalls = [...calls, ...nestedCalls];
	const found = [...checkLoaded(calls, runs, disturbances), ...checkRepeatedRuns(runs), ...checkLost(allCalls, runs, stops, disturbances)];
	const violations = found.map((violation): Violation => {
		const call = allCalls.find(({id}) => id === violation.call);
		return call === undefined ? violation : {...violation, what: `${violation.what}. ${explainConnection(call, loopDelays)}`};
	});
	return {
		calls, nestedCalls, runs, stops, disturbances, troubleCounts, failedNodes, lifetimes: vms.flatMap(({node}) => node.lifetimes), loopDelays, violations,
	};
}
