/**
 * Judges a loaded run by the platform's rule on lost requests, from the callers' and the servers' side: what is
 * excused there and nothing else.
 *
 * @module
 */
import {groupBy, type Violation} from '../record.js';
import {type LoadedCall} from './loaded-callers.js';
import {findClass} from './loaded-config.js';
import {type LoadedRun} from './loaded-run.js';

/** A SIGTERM to a node. */
export type LoadedStop = {
	readonly node: string;
	/** Unix milliseconds. */
	readonly at: number;
};

/** An unplanned disturbance of a machine. */
export type LoadedDisturbance = {
	readonly node: string;
	/** Whether the process was killed or its connections were reset, or it was held up: frozen, cut off, or its clock stepped. */
	readonly type: 'broken' | 'held';
	/** Unix milliseconds. For a killed process, the end is the start of the next one. */
	readonly from: number;
	readonly to: number;
};

/** The rule's `contact-window`. */
const contactWindowMs = 3000;

/** How long after a SIGTERM the requests of its node are judged: the grace period and a second. */
const judgedMs = 7000;

/** A connection that ends without a response to a request that was not passed on must do so within this time of the request. */
const lostSlackMs = 200;

/** From this long after a SIGTERM on, the last sixth of the grace period, a server that is still at work excuses the end. */
const lastSixthMs = 5000;

/** Requests sent later than this after a SIGTERM have no such excuse. */
const excusedSendMs = 3000;

const promise = 'around a stop no request is lost, by the platform\'s rule';

/**
 * Returns whether a disturbance excuses the end of a request. "Around planned work, with no unplanned disturbance from
 * contact-window before the request to its end": of the machine that took the request. Of the machine beside its server,
 * only a kill or a reset counts, and only while the request is under way.
 *
 * @param call - The request.
 * @param run - Its execution, if any.
 * @param disturbances - The unplanned disturbances.
 * @returns Whether one of them excuses it.
 */
export function isExcusedByDisturbance(call: LoadedCall, run: LoadedRun | undefined, disturbances: readonly LoadedDisturbance[]): boolean {
	return disturbances.some(({node, type, from, to}) => from <= call.endedAt
		&& ((node === call.node && to >= call.sentAt - contactWindowMs) || (node === run?.node && type === 'broken' && from >= call.sentAt)));
}

/**
 * Returns whether all servers that executed a request gave it up by themselves before it ended. "Not counted: the worker
 * broke off". What a server gives up later, and what another server still worked on, is not excused.
 *
 * @param call - The request.
 * @param runs - All its executions.
 * @returns Whether that is so.
 */
export function isExcusedByServers(call: LoadedCall, runs: readonly LoadedRun[]): boolean {
	return runs.length > 0 && runs.every(({abandonedAt}) => abandonedAt !== undefined && abandonedAt <= call.endedAt);
}

/** Returns the last execution of a request that its server did not give up; the last one if there is none. */
export const findJudgedRun = (runs: readonly LoadedRun[]): LoadedRun | undefined => runs.findLast(({abandonedAt}) => abandonedAt === undefined) ?? runs.at(-1);

/** "A process has read a whole request": not if its connection was refused, because no process listened. The soak may see the refusal late. */
const isRefusedConnection = ({connection}: LoadedCall): boolean =>
	connection?.openAt === undefined && connection?.failure === 'ECONNREFUSED' && connection.passedBytes === 0;

/** Returns what was lost; `undefined` if nothing was, or if the rule excuses it. */
function findLoss(call: LoadedCall, run: LoadedRun | undefined, stop: LoadedStop): string | undefined {
	const usedMs = call.endedAt - call.sentAt;
	if (usedMs >= Math.min(call.timeLeftMs, findClass(call.target).timeoutMs)) {
		return undefined;
	}

	if (run === undefined) {
		// "Not counted either: a request that was sent behind another on its connection and wasn't passed on."
		return call.isBehind !== true && !isRefusedConnection(call) && call.status === 0 && usedMs > lostSlackMs ? 'it was not passed on, and its connection ended' : undefined;
	}

	const workedUntil = run.endedAt ?? run.brokenOffAt ?? call.endedAt;
	if (workedUntil >= stop.at + lastSixthMs && call.sentAt <= stop.at + excusedSendMs) {
		return undefined;
	}

	const hasOwnAnswer = call.isSigned && (run.status === undefined || call.status === run.status);
	return hasOwnAnswer ? undefined : `its server ${run.endedAt === undefined ? 'was at work' : `had answered ${run.status ?? 0}`}`;
}

/**
 * Finds the requests that were lost around the stops of the nodes that took them.
 *
 * @param calls - The requests of callers and of servers.
 * @param runs - The executions at servers.
 * @param stops - The stops.
 * @param disturbances - The unplanned disturbances.
 * @returns The violations. A request that was executed several times is judged by its last execution,
 * except for those that servers gave up.
 */
export function checkLost(calls: readonly LoadedCall[], runs: readonly LoadedRun[], stops: readonly LoadedStop[], disturbances: readonly LoadedDisturbance[] = []): readonly Violation[] {
	const runsByCall = groupBy(runs, ({id}) => id);
	const stopsByNode = groupBy(stops, ({node}) => node);
	return calls.flatMap(call => {
		const stop = stopsByNode.get(call.node)?.findLast(({at}) => call.endedAt >= at && call.sentAt <= at + judgedMs);
		const ownRuns = runsByCall.get(call.id) ?? [];
		const run = findJudgedRun(ownRuns);
		const isExcused = isExcusedByServers(call, ownRuns) || isExcusedByDisturbance(call, run, disturbances);
		const loss = stop === undefined || isExcused ? undefined : findLoss(call, run, stop);
		if (stop === undefined || loss === undefined) {
			return [];
		}

		const times = `sent ${call.sentAt - stop.at} ms and ended ${call.endedAt - stop.at} ms after SIGTERM`;
		return [{
			promise, at: call.endedAt, call: call.id,
			what: `${call.id} ${call.target} at ${call.node}, ${times}, got ${call.status === 0 ? 'no answer' : call.status}: ${loss}`,
		}];
	});
}
