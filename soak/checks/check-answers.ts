/**
 * Checks that callers get whole answers to their own requests.
 *
 * @module
 */
import {type WireBehaviour} from '../../stand-ins/wire-server/wire-server.js';
import {
	groupBy, type CallRecord, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';

/** How a server that answers with success treats a request. */
const successBehaviours: ReadonlySet<WireBehaviour> = new Set(['answer', 'extra', 'unframed', 'early']);

const failBehaviourStatus = 500;

/** What is wrong with a success; `undefined` if nothing is. */
function findProblem(call: CallRecord, runs: readonly RunRecord[]): string | undefined {
	if (call.echoedId !== call.id) {
		return `it answers ${call.echoedId ?? 'no request'}`;
	}

	if (call.text !== `page ${call.target} ${call.body}`) {
		return `its body is not the server's: ${call.text.length} bytes, beginning with "${call.text.slice(0, 60)}"`;
	}

	if (call.signature !== `sig.${call.id}.${call.text.length}`) {
		return `its signature is ${call.signature ?? 'missing'}`;
	}

	return runs.some(({behaviour}) => successBehaviours.has(behaviour)) ? undefined : 'no server answered it with success';
}

/**
 * @param record - What was seen.
 * @returns Successes that are not the whole answer to the request, and failures that bear a server's signature and are not its own.
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
					promise: 'whole answers', what: `${call.id} was answered ${call.status}, but ${problem}`, at: call.endedAt, call: call.id,
				}];
		}

		const isAllowed = call.signature === undefined || (call.status === failBehaviourStatus && own.some(({behaviour}) => behaviour === 'fail'));
		return isAllowed
			? []
			: [{
				promise: 'whole answers', what: `${call.id} was answered ${call.status} with a signature of no such failure`, at: call.endedAt, call: call.id,
			}];
	});
}
