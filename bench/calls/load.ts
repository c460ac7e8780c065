/**
 * Sends calls at a steady rate, whatever becomes of them, and counts what
 * callers saw.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Agent, request as sendRequest} from 'undici';
import {createPage} from '../../stand-ins/backend-server/page.js';

/** How one call ended. */
export type CallOutcome = {
	readonly kind: 'correct' | 'wrong' | 'not-run' | 'may-have-run' | 'late';
	readonly latencyMs: number;
};

/** Sends one call and says how it ended. */
export type SendCall = (path: string) => Promise<CallOutcome>;

export type LoadResult = {
	readonly outcomes: readonly CallOutcome[];
	readonly seconds: number;
};

const callerTimeoutMs = 1000;
const pollIntervalMs = 5;

/** A caller that sends to one address and waits a second at the most. */
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

/** Sends calls at a rate for a time. */
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
