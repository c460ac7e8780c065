/**
 * Discrete-event simulation of a small mesh under load. The decision functions of
 * the nodes decide which requests wait or are refused, which server gets a
 * request, and when callers retry.
 *
 * The model leaves out the processor time of nodes, the bandwidth of links, and
 * faults that interrupt answers.
 *
 * @module
 */
import {randomExponential, randomLogNormal} from 'd3-random';
import {sendEntryRequest, type EntryRequest, type EntryResult} from './entry.js';
import {type DomainSample} from './domain-series.js';
import {type ModelServer} from './model-server.js';
import {type Pattern, type RequestKind} from './pattern.js';
import {type Policy} from './policy.js';
import {refusedAtOnceShare, type OutcomeCounts} from './outcome-counts.js';
import {createSimulation, type Simulation} from './simulation.js';

/** Time between two heartbeats of a node. */
const heartbeatMs = 400;

/** Requests within this time from the start are not counted, because the estimates of the nodes have not converged. */
const warmUpMs = 2000;

/** Maximum retry delay of a caller, as a share of the time left until its deadline. */
const maximumRetryDelayShare = 1 / 3;

/** Maximum work of a request, as a multiple of the mean. */
const maximumWorkFactor = 6;

/** Returns the work of a request at a server, in milliseconds at the usual speed of its VM. */
function pickWorkMs({random, listActiveDisturbances, isAffected}: Simulation, kind: RequestKind, server: ModelServer): number {
	const mean = Math.log(kind.workMs) - ((kind.workSpread ** 2) / 2);
	const work = Math.min(randomLogNormal.source(random)(mean, kind.workSpread)(), kind.workMs * maximumWorkFactor);
	const slowness = listActiveDisturbances('slow').filter(disturbance => isAffected(disturbance, server)).reduce((product, disturbance) => product * disturbance.factor, 1);
	const heavyFactor = kind.heavy !== undefined && random() < kind.heavy.share ? kind.heavy.factor : 1;
	return work * heavyFactor * slowness / server.speed;
}

/** Returns how long work takes that starts now, while the speed of the VM changes. */
function computeDurationMs({events, getSlowness, getNextChange}: Simulation, workMs: number, {node}: ModelServer): number {
	const startedAt = events.getNow();
	let now = startedAt;
	for (let left = workMs; left > 0;) {
		const slowness = getSlowness(node, now);
		const doneMs = Math.min(left, (getNextChange(now) - now) / slowness);
		left -= doneMs;
		now += doneMs * slowness;
	}

	return now - startedAt;
}

function countResult({counts}: Simulation, kind: RequestKind, result: EntryResult, tookMs: number, heldMs: number): void {
	const kindCounts = counts.get(kind.name)!;
	switch (result.type) {
		case 'answered': {
			kindCounts.latencies.push(tookMs);
			kindCounts[tookMs <= kind.targetLatencyMs ? 'inTime' : 'late']++;
			break;
		}

		case 'refused': {
			kindCounts[heldMs <= kind.targetLatencyMs * refusedAtOnceShare ? 'refusedAtOnce' : 'refusedLate']++;
			break;
		}

		case 'failed': {
			kindCounts.failed++;
			break;
		}
	}
}

type StartEntryRequest = (kind: RequestKind, node: number, leftMs: number, handleResult: (result: EntryResult) => void) => void;

/** Creates the function that starts a request at an entry node: an attempt of a caller, or a nested call of a server. */
function createRequestStarter(simulation: Simulation): StartEntryRequest {
	const {events, random, counts, getKind} = simulation;

	const startCall = (name: string, node: number, handleAnswer: (isAnswered: boolean) => void): void => {
		const kind = getKind(name);
		const startedAt = events.getNow();
		const isCounted = startedAt > warmUpMs;
		counts.get(name)!.requests += isCounted ? 1 : 0;
		startRequest(kind, node, kind.deadlineMs, result => {
			if (isCounted) {
				countResult(simulation, kind, result, events.getNow() - startedAt, 0);
			}

			handleAnswer(result.type === 'answered');
		});
	};

	/** Sends nested calls one after another, until one fails or the request that needs them has ended. */
	const sendInSequence = (request: EntryRequest, node: number, calls: readonly string[], handleDone: (isDone: boolean) => void): void => {
		const [name, ...others] = calls;
		if (name === undefined || request.isFinished) {
			handleDone(name === undefined);
			return;
		}

		startCall(name, node, isAnswered => {
			if (isAnswered) {
				sendInSequence(request, node, others, handleDone);
			} else {
				handleDone(false);
			}
		});
	};

	const sendConcurrently = (node: number, calls: readonly string[], handleDone: (isDone: boolean) => void): void => {
		const outcomes: boolean[] = [];
		const handleAnswer = (isAnswered: boolean): void => {
			outcomes.push(isAnswered);
			if (outcomes.length === calls.length) {
				handleDone(outcomes.every(Boolean));
			}
		};

		for (const name of calls) {
			startCall(name, node, handleAnswer);
		}
	};

	const sendCalls = (request: EntryRequest, node: number, handleDone: (isDone: boolean) => void): void => {
		const plans = request.kind.calls.filter(({share}) => random() < share);
		const calls = plans.flatMap(({kind, times}) => Array.from({length: times}, () => kind));
		if (calls.length > 0 && plans.some(({isConcurrent}) => isConcurrent)) {
			sendConcurrently(node, calls, handleDone);
		} else {
			sendInSequence(request, node, calls, handleDone);
		}
	};

	/** Runs a request at a server: its work, and then its nested calls. The request holds its slot until they end. */
	const runAtServer = (request: EntryRequest, server: ModelServer, handleRun: (isAnswered: boolean) => void): void => {
		const startedAt = events.getNow();
		events.schedule(computeDurationMs(simulation, pickWorkMs(simulation, request.kind, server), server), () => {
			sendCalls(request, server.node, isAnswered => {
				const kindCounts = counts.get(request.kind.name)!;
				const tookMs = events.getNow() - startedAt;
				kindCounts.slotMs += tookMs;
				kindCounts.wastedSlotMs += isAnswered && !request.isFinished ? 0 : tookMs;
				handleRun(isAnswered);
			});
		});
	};

	const startRequest: StartEntryRequest = (kind, node, leftMs, handleFirstResult) => {
		const request: EntryRequest = {
			kind, node, leftMs, isFinished: false, handleResult(result) {
				if (!request.isFinished) {
					request.isFinished = true;
					handleFirstResult(result);
				}
			},
		};
		events.schedule(Math.min(leftMs, kind.timeoutMs), () => {
			request.handleResult({type: 'failed'});
		});
		sendEntryRequest(simulation, request, runAtServer);
	};

	return startRequest;
}

/** Picks the node of a caller: in each failure domain in proportion to its demand, and in none that is lost. */
function pickEntryNode({random, nodes, pattern, events, listActiveDisturbances}: Simulation): number {
	const lost = listActiveDisturbances('domain-lost');
	const {domains, swing} = pattern;
	for (;;) {
		const node = Math.floor(random() * nodes.length);
		const demand = swing === undefined ? 1 : 1 + (swing.share * Math.sin(2 * Math.PI * ((events.getNow() / swing.periodMs) + (node % domains / domains))));
		const isPicked = swing === undefined || random() * (1 + swing.share) < demand;
		if (isPicked && !lost.some(({domain}) => domain === node % domains)) {
			return node;
		}
	}
}

/** Starts one caller, which retries a refused request, and a failed one if it is retryable. */
function startCaller(simulation: Simulation, kind: RequestKind, startRequest: StartEntryRequest): void {
	const {events, random, pattern, counts} = simulation;
	const startedAt = events.getNow();
	const node = pickEntryNode(simulation);
	simulation.series.recordDemand(node);
	const isImpatient = simulation.listActiveDisturbances('impatient').some(({share}) => random() < share);
	const isCounted = startedAt > warmUpMs;
	counts.get(kind.name)!.requests += isCounted ? 1 : 0;
	let maximumHeldMs = 0;
	const getLeftMs = (): number => kind.deadlineMs - (events.getNow() - startedAt);

	const sendRequest = (retriesLeft: number): void => {
		const leftMs = getLeftMs();
		events.schedule(pattern.callerOneWayMs, () => {
			const sentAt = events.getNow();
			startRequest(kind, node, leftMs, result => {
				maximumHeldMs = Math.max(maximumHeldMs, events.getNow() - sentAt);
				events.schedule(pattern.callerOneWayMs, () => {
					handleResult(result, retriesLeft);
				});
			});
		});
	};

	const handleResult = (result: EntryResult, retriesLeft: number): void => {
		const mayRetry = result.type === 'refused' || (result.type === 'failed' && kind.isRetryable);
		if (retriesLeft > 0 && mayRetry && getLeftMs() > 0) {
			const retryDelayMs = result.type === 'refused' && !isImpatient ? result.retryAfterMs : 0;
			events.schedule(Math.min(retryDelayMs, getLeftMs() * maximumRetryDelayShare), () => {
				sendRequest(retriesLeft - 1);
			});
		} else if (isCounted) {
			countResult(simulation, kind, result, events.getNow() - startedAt, maximumHeldMs);
		}
	};

	sendRequest(kind.retries);
}

function startCallers(simulation: Simulation, kind: RequestKind, startRequest: StartEntryRequest): void {
	const {events, random} = simulation;
	const factor = simulation.listActiveDisturbances('burst').filter(burst => burst.kind === undefined || burst.kind === kind.name).reduce((product, disturbance) => product * disturbance.factor, 1);
	events.schedule(randomExponential.source(random)(kind.perSecond * factor / 1000)(), () => {
		startCaller(simulation, kind, startRequest);
		startCallers(simulation, kind, startRequest);
	});
}

function startHeartbeats(simulation: Simulation, server: ModelServer, afterMs: number): void {
	const {events, nodes} = simulation;
	events.schedule(afterMs, () => {
		const report = server.getLoad();
		for (const [index, node] of nodes.entries()) {
			events.schedule(simulation.getOneWayMs(server.node, index), () => {
				node.loads.recordReport(server.lifetime, report, events.getNow());
			});
		}

		startHeartbeats(simulation, server, heartbeatMs);
	});
}

/**
 * Simulates a load pattern.
 *
 * @param pattern - The load, the servers and their disturbances.
 * @param policy - The rules of the nodes.
 * @param seed - The seed of all random numbers.
 * @returns The counts of the requests, by kind and outcome.
 */
export function runPattern(pattern: Pattern, policy: Policy, seed: number): OutcomeCounts {
	return runWithSeries(pattern, policy, seed).counts;
}

/**
 * Simulates a load pattern.
 *
 * @param pattern - The load, the servers and their disturbances.
 * @param policy - The rules of the nodes.
 * @param seed - The seed of all random numbers.
 * @returns The counts, and the state of each failure domain over time.
 */
export function runWithSeries(pattern: Pattern, policy: Policy, seed: number): {readonly counts: OutcomeCounts; readonly series: readonly DomainSample[]} {
	const simulation = createSimulation(pattern, policy, seed);
	const startRequest = createRequestStarter(simulation);
	for (const server of simulation.servers) {
		startHeartbeats(simulation, server, simulation.random() * heartbeatMs);
	}

	for (const kind of pattern.kinds.filter(({perSecond}) => perSecond > 0)) {
		startCallers(simulation, kind, startRequest);
	}

	simulation.series.start(simulation);
	simulation.events.runUntil(pattern.durationMs);
	return {counts: simulation.counts, series: simulation.series.list()};
}
