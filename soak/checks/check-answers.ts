/**
 * Checks that callers get complete responses to their own requests.
 *
 * @module
 */
import {type PlatformServerBehaviour} from '../../stand-ins/platform-server/apply-behaviour.js';
import {
	groupBy, type CallRecord, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';

/** Behaviours with which a backend server sends a success. */
const successBehaviours: ReadonlySet<PlatformServerBehaviour> = new Set(['answer', 'extra', 'unframed', 'early']);

/** Status of the signed response of the behaviour `fail`. */
const failBehaviourStatus = 500;

/** Returns what is wrong with a success; `undefined` if nothing is. */
function findProblem(call: CallRecord, runs: readonly RunRecord[]): string | undefined {
	if (call.echoedId !== call.id) {
		return `it belongs to ${call.echoedId ?? 'no request'}`;
	}

	if (call.text !== `page ${call.target} ${call.body}`) {
		return `its body differs from the server's: ${call.text.length} characters, beginning with "${call.text.slice(0, 60)}"`;
	}

	if (call.signature !== `sig.${call.id}.${call.text.length}`) {
		return `its signature is ${call.signature ?? 'missing'}`;
	}

	return runs.some(({behaviour}) => successBehaviours.has(behaviour)) ? undefined : 'no backend server sent a success';
}

/**
 * Finds responses that no backend server sent.
 *
 * @param record - What was observed.
 * @returns Successes that are not the complete response to the request, and failures with a signature that no backend server sent.
 */
export function checkAnswers({calls, runs}: SoakRecord): readonly Violation[] {
	const runsByCall = groupBy(runs, ({id}) => id);
	return calls.flatMap((call): readonly Violation[] => {
		const own = runsByCall.get(call.id) ?? [];
		if (call.status >= 200 && call.status < 300) {
			const problem = findProblem(call, own);
			return problem === undefined
				? []
				: [{
					promise: 'whole answers', what: `${call.id} got a response with status ${call.status}, but ${problem}`, at: call.endedAt, call: call.id,
				}];
		}

		const isAllowed = call.signature === undefined || (call.status === failBehaviourStatus && own.some(({behaviour}) => behaviour === 'fail'));
		return isAllowed
			? []
			: [{
				promise: 'whole answers', what: `${call.id} got a signed response with status ${call.status}, which no backend server sent`, at: call.endedAt, call: call.id,
			}];
	});
}
