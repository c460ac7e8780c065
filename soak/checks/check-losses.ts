/**
 * Checks that callers get a response to each request that an undisturbed backend
 * server executed, also while nodes shut down gracefully.
 *
 * @module
 */
import {
	groupBy, isDisturbed, type CallRecord, type Disturbance, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';
import {routeTimeoutMs} from '../soak-config.js';

/** A disturbance this long before a request may still have affected it. */
const marginMs = 5000;

/** Share of its time limit. A request that failed after a larger share may have timed out. */
const maxUsedTimeShare = 0.7;

const isLost = ({status, signature}: CallRecord): boolean => status === 0 || ((status === 502 || status === 504) && signature === undefined);

function isWithinTime({sentAt, endedAt, timeLeftMs}: CallRecord): boolean {
	return endedAt - sentAt < maxUsedTimeShare * Math.min(timeLeftMs, routeTimeoutMs);
}

/**
 * Finds lost responses.
 *
 * @param record - What was observed.
 * @returns Requests that undisturbed backend servers executed and whose callers got no response from them.
 */
export function checkLosses(record: SoakRecord): readonly Violation[] {
	const runsByCall = groupBy(record.runs, ({id}) => id);
	const isCallDisturbed = (call: CallRecord, run: RunRecord, matches: (disturbance: Disturbance) => boolean): boolean => isDisturbed(record, call.sentAt - marginMs, call.endedAt, disturbance => {
		const isRelevant = disturbance.part === 'node' ? disturbance.node === call.node || disturbance.node === run.node : disturbance.part === 'server' && disturbance.node === run.node;
		return isRelevant && matches(disturbance);
	});
	return record.calls.filter(call => isLost(call) && !call.hasLeft && isWithinTime(call)).flatMap(call => {
		const runs = runsByCall.get(call.id) ?? [];
		const shouldBeAnswered = runs.length > 0 && runs.every(run => run.behaviour === 'answer' && !isCallDisturbed(call, run, ({isPlanned}) => !isPlanned));
		if (!shouldBeAnswered) {
			return [];
		}

		const isStopping = runs.some(run => isCallDisturbed(call, run, ({isPlanned}) => isPlanned));
		const elapsedMs = call.endedAt - call.sentAt;
		return [{
			promise: isStopping ? 'a graceful stop cuts nothing' : 'what calm servers run is answered', at: call.endedAt, call: call.id,
			what: `${call.id} on ${call.node} was executed by ${runs.map(({server}) => server).join(', ')} and got ${call.status === 0 ? 'no response' : call.status} after ${elapsedMs} ms`,
		}];
	});
}

/**
 * Finds calls that backend servers needed for requests in work and that the node beside them did not accept while it stopped.
 *
 * @param record - What was observed.
 * @returns Calls without a response of which only graceful stops and reloads of the node can be the cause.
 */
export function checkNestedCalls(record: SoakRecord): readonly Violation[] {
	return record.calls.filter(({isNested, status, hasLeft}) => isNested && status === 0 && !hasLeft).flatMap((call): readonly Violation[] => {
		const isAtNode = ({part, node}: Disturbance): boolean => node === call.node && (part === 'node' || part === 'server');
		const isCallDisturbed = (isPlanned: boolean): boolean => isDisturbed(record, call.sentAt - marginMs, call.endedAt, disturbance => isAtNode(disturbance) && disturbance.isPlanned === isPlanned);
		return isCallDisturbed(true) && !isCallDisturbed(false)
			? [{
				promise: 'a stopping node serves the calls of its server', at: call.endedAt, call: call.id, what: `${call.id} of the server beside ${call.node} got no response after ${call.endedAt - call.sentAt} ms`,
			}]
			: [];
	});
}
