/**
 * Judges a loaded run by the platform's rule on lost requests, from the callers' and the servers' side: what is
 * excused there and nothing else.
 *
 * @module
 */
import {groupBy, type Violation} from '../record.js';
import {type LoadedCall} from './loaded-callers.js';
import {findClass} from './loaded-config.js';
import {type LoadedRun} from './loaded-server.js';

/** A SIGTERM to a node. */
export type LoadedStop = {
	readonly node: string;
	/** Unix milliseconds. */
	readonly at: number;
};

/** How long after a SIGTERM the requests of its node are judged: the grace period and a second. */
const judgedMs = 7000;

/** A connection that ends without a response to a request that was not passed on must do so within this time of the request. */
const lostSlackMs = 200;

/** From this long after a SIGTERM on, the last sixth of the grace period, a server that is still at work excuses the end. */
const lastSixthMs = 5000;

/** Requests sent later than this after a SIGTERM have no such excuse. */
const excusedSendMs = 3000;

const promise = 'around a stop no request is lost, by the platform\'s rule';

/** Returns what was lost; `undefined` if nothing was, or if the rule excuses it. */
function findLoss(call: LoadedCall, run: LoadedRun | undefined, stop: LoadedStop): string | undefined {
	const usedMs = call.endedAt - call.sentAt;
	if (usedMs >= Math.min(call.timeLeftMs, findClass(call.target).timeoutMs)) {
		return undefined;
	}

	if (run === undefined) {
		return call.status === 0 && usedMs > lostSlackMs ? 'it was not passed on, and its connection ended' : undefined;
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
 * @returns The violations. A request that was executed several times is judged by its last execution.
 */
export function checkLost(calls: readonly LoadedCall[], runs: readonly LoadedRun[], stops: readonly LoadedStop[]): readonly Violation[] {
	const runsByCall = groupBy(runs, ({id}) => id);
	const stopsByNode = groupBy(stops, ({node}) => node);
	return calls.flatMap(call => {
		const stop = stopsByNode.get(call.node)?.findLast(({at}) => call.endedAt >= at && call.sentAt <= at + judgedMs);
		const loss = stop === undefined ? undefined : findLoss(call, runsByCall.get(call.id)?.at(-1), stop);
		return stop === undefined || loss === undefined
			? []
			: [{
				promise, at: call.endedAt, call: call.id,
				what: `${call.id} ${call.target} at ${call.node}, sent ${call.sentAt - stop.at} ms and ended ${call.endedAt - stop.at} ms after SIGTERM, got ${call.status === 0 ? 'no answer' : call.status}: ${loss}`,
			}];
	});
}
