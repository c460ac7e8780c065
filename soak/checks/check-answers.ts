/**
 * Checks that callers get whole answers to their own requests.
 *
 * @module
 */
import {type PlatformServerBehaviour} from '../../stand-ins/platform-server/platform-server.js';
import {
	collectBy, type CallRecord, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';

/** How a server that answers with success treats a request. */
const succeeding: ReadonlySet<PlatformServerBehaviour> = new Set(['answer', 'extra', 'unframed', 'early']);

const signedFailure = 500;

/** What is wrong with a success; `undefined` if nothing is. */
function findFlaw(call: CallRecord, runs: readonly RunRecord[]): string | undefined {
	if (call.echoedId !== call.id) {
		return `it answers ${call.echoedId ?? 'no request'}`;
	}

	if (call.text !== `page ${call.target} ${call.body}`) {
		return `its body is not the server's: ${call.text.length} bytes, beginning with "${call.text.slice(0, 60)}"`;
	}

	if (call.signature !== `sig.${call.id}.${call.text.length}`) {
		return `its signature is ${call.signature ?? 'missing'}`;
	}

	return runs.some(({behaviour}) => succeeding.has(behaviour)) ? undefined : 'no server answered it with success';
}

/**
 * @param record - What was seen.
 * @returns Successes that are not the whole answer to the request, and failures that bear a server's signature and are not its own.
 */
export function checkAnswers({calls, runs}: SoakRecord): readonly Violation[] {
	const runsOf = collectBy(runs, ({id}) => id);
	return calls.flatMap((call): readonly Violation[] => {
		const own = runsOf.get(call.id) ?? [];
		if (call.status >= 200 && call.status < 300) {
			const flaw = findFlaw(call, own);
			return flaw === undefined
				? []
				: [{
					promise: 'whole answers', what: `${call.id} was answered ${call.status}, but ${flaw}`, at: call.endedAt, call: call.id,
				}];
		}

		const isOwn = call.signature === undefined || (call.status === signedFailure && own.some(({behaviour}) => behaviour === 'fail'));
		return isOwn
			? []
			: [{
				promise: 'whole answers', what: `${call.id} was answered ${call.status} with a signature of no such failure`, at: call.endedAt, call: call.id,
			}];
	});
}
