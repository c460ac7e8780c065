/**
 * Checks that processes live until they are asked to end, end well, and that
 * the mesh recovers.
 *
 * @module
 */
import {type Lifetime, type SoakRecord, type Violation} from '../record.js';

/** What is wrong with how a process ended; `undefined` if nothing is. */
function findProblem({end}: Lifetime): string | undefined {
	switch (end.type) {
		case 'running':
		case 'killed': {
			return undefined;
		}

		case 'unasked': {
			return `ended by itself, with ${end.signal ?? `code ${end.code ?? 'unknown'}`}`;
		}

		case 'stopped': {
			const isExcused = (end.signal === 'SIGKILL' && end.wasHeld) || (end.signal === 'SIGTERM' && !end.wasReady);
			return end.code === 0 || isExcused ? undefined : `ended with ${end.signal ?? `code ${end.code ?? 'unknown'}`} ${end.at - end.askedAt} ms after SIGTERM`;
		}
	}
}

/**
 * @param record - What was seen.
 * @returns Processes that ended by themselves, or badly after SIGTERM.
 */
export function checkProcesses({lifetimes}: SoakRecord): readonly Violation[] {
	return lifetimes.flatMap(lifetime => {
		const problem = findProblem(lifetime);
		const at = lifetime.end.type === 'running' ? lifetime.startedAt : lifetime.end.at;
		return problem === undefined ? [] : [{promise: 'processes do not end by themselves', what: `${lifetime.node}, started at ${lifetime.startedAt}, ${problem}`, at}];
	});
}

/** From the last fault on, the mesh has this long to recover. Milliseconds. */
export const maxRecoveryMs = 8000;

/** The part of requests that each node serves afterwards. */
const minServedShare = 0.25;

/** Routes that were added later or dropped are asked for in vain on purpose; they tell nothing here. */
const isCounted = (status: number): boolean => status !== 404;

/**
 * @param record - What was seen.
 * @returns Nodes that are not ready at the end, or serve little.
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
