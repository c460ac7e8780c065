/**
 * Open-loop load generator: sends calls at a fixed rate that does not depend on
 * the responses, and records their outcomes.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Agent, request as sendRequest} from 'undici';
import {createPage} from '../../stand-ins/backend-server/page.js';

/**
 * Outcome of one call. `correct` is status 200 with the expected page, `wrong` is
 * 200 with another body, `late` is a timeout or a connection error. The other
 * kinds tell whether a failed call may have been executed.
 */
export type CallOutcome = {
	readonly kind: 'correct' | 'wrong' | 'not-run' | 'may-have-run' | 'late';
	readonly latencyMs: number;
};

/** Sends one call and returns its outcome. */
export type SendCall = (path: string) => Promise<CallOutcome>;

export type LoadResult = {
	readonly outcomes: readonly CallOutcome[];
	readonly seconds: number;
};

const callerTimeoutMs = 1000;
const pollIntervalMs = 5;

/** Creates a function that sends one request to an address, with a timeout of `callerTimeoutMs`. */
export function createSender(agent: Agent): (address: string, path: string) => Promise<CallOutcome> {
	return async (address, path) => {
		const startedAt = performance.now();
		const finish = (kind: CallOutcome['kind']): CallOutcome => ({kind, latencyMs: performance.now() - startedAt});
		try {
			const reply = await sendRequest(`http://${address}${path}`, {dispatcher: agent, signal: AbortSignal.timeout(callerTimeoutMs)});
			const body = await reply.body.text();
			if (reply.statusCode === 200) {
				return finish(body === createPage(path) ? 'correct' : 'wrong');
			}

			return finish(reply.headers['stonemoor-verdict'] === 'not-run' ? 'not-run' : 'may-have-run');
		} catch {
			return finish('late');
		}
	};
}

/** Sends calls at a fixed rate for some seconds, and waits until all of them have ended. */
export async function runLoad(send: SendCall, callsPerSecond: number, seconds: number): Promise<LoadResult> {
	const pending: Array<Promise<CallOutcome>> = [];
	const startedAt = performance.now();
	while (performance.now() - startedAt < seconds * 1000) {
		const dueCount = Math.floor((performance.now() - startedAt) / 1000 * callsPerSecond);
		while (pending.length < dueCount) {
			pending.push(send(`/logs/${pending.length}?at=${startedAt}`));
		}

		await sleep(pollIntervalMs);
	}

	const outcomes = await Promise.all(pending);
	return {outcomes, seconds};
}

export function countOutcomes(result: LoadResult, kind: CallOutcome['kind']): number {
	return result.outcomes.filter(outcome => outcome.kind === kind).length;
}

export function listCorrectLatencies(result: LoadResult): readonly number[] {
	return result.outcomes.filter(outcome => outcome.kind === 'correct').map(outcome => outcome.latencyMs);
}
