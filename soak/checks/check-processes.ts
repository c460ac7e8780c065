/**
 * Checks that processes end only after a signal, that they exit with code 0 after
 * SIGTERM, and that the mesh recovers.
 *
 * @module
 */
import {type Lifetime, type SoakRecord, type Violation} from '../record.js';

/** Returns what is wrong with how a process ended; `undefined` if nothing is. */
function findProblem({end}: Lifetime): string | undefined {
	switch (end.type) {
		case 'running':
		case 'killed': {
			return undefined;
		}

		case 'unasked': {
			return `ended without a signal from the soak, with ${end.signal ?? `code ${end.code ?? 'unknown'}`}`;
		}

		case 'stopped': {
			const isExcused = (end.signal === 'SIGKILL' && end.wasHeld) || (end.signal === 'SIGTERM' && !end.wasReady);
			return end.code === 0 || isExcused ? undefined : `ended with ${end.signal ?? `code ${end.code ?? 'unknown'}`} ${end.at - end.askedAt} ms after SIGTERM`;
		}
	}
}

/**
 * Finds processes that ended wrongly.
 *
 * @param record - What was observed.
 * @returns Processes that ended without a signal from the soak, or with an error after SIGTERM.
 */
export function checkProcesses({lifetimes}: SoakRecord): readonly Violation[] {
	return lifetimes.flatMap(lifetime => {
		const problem = findProblem(lifetime);
		const at = lifetime.end.type === 'running' ? lifetime.startedAt : lifetime.end.at;
		return problem === undefined ? [] : [{promise: 'processes do not end by themselves', what: `${lifetime.node}, started at ${lifetime.startedAt}, ${problem}`, at}];
	});
}

/** Time that the mesh has to recover, counted from the end of the last fault. */
export const maxRecoveryMs = 8000;

/** Minimum share of its requests that each node serves after the recovery time. */
const minServedShare = 0.25;

/** Excludes 404: callers use routes on purpose that are not added yet or already removed. */
const isCounted = (status: number): boolean => status !== 404;

/**
 * Finds nodes that did not recover.
 *
 * @param record - What was observed.
 * @returns Nodes that are not ready at the end, or serve too few requests.
 */
export function checkRecovery({calls, ending}: SoakRecord): readonly Violation[] {
	if (ending === undefined) {
		return [];
	}

	const from = ending.lastFaultAt + maxRecoveryMs;
	const afterRecovery = calls.filter(call => call.sentAt >= from && !call.hasLeft && isCounted(call.status));
	return [...ending.ready].flatMap(([node, isReady]) => {
		const own = afterRecovery.filter(call => call.node === node);
		const served = own.filter(({status}) => status === 200).length;
		const hasRecovered = isReady && served >= minServedShare * own.length && own.length > 0;
		return hasRecovered
			? []
			: [{
				promise: 'the mesh recovers', at: from, call: own.find(({status}) => status !== 200)?.id,
				what: `${node} is ${isReady ? '' : 'not '}ready and served ${served} of ${own.length} requests`,
			}];
	});
}
