/**
 * Submits changes to a fleet and measures when they come into force.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {request as sendRequest} from 'undici';
import {type Item, type SubmissionOutcome} from '../src/index.js';
import {type Fleet} from './fleet.js';

/** Submits items through the operator port of a node. */
export async function submitItems(operatorAddress: string, items: readonly Item[], seenVersion: number): Promise<SubmissionOutcome> {
	const reply = await sendRequest(`http://${operatorAddress}/v1/submissions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({id: randomUUID(), seenVersion, changes: items.map(item => ({type: 'put', item}))}),
	});
	return await reply.body.json() as SubmissionOutcome;
}

/** The version of an accepted submission, and when the submission was sent, in milliseconds since the epoch. */
export type SubmittedVersion = {readonly version: number; readonly sentAt: number};

/**
 * Computes the time until each node applied each submitted version, or a later one.
 *
 * @returns Milliseconds from the submission, one value for each node and submission; `Infinity` if the node did not apply it.
 */
export function measureConvergence(fleet: Fleet, nodes: readonly string[], submitted: readonly SubmittedVersion[]): readonly number[] {
	const byNode = new Map<string, Array<{readonly version: number; readonly at: number}>>();
	for (const {node, version, at} of fleet.getApplied()) {
		byNode.set(node, [...byNode.get(node) ?? [], {version, at}]);
	}

	return submitted.flatMap(({version, sentAt}) => nodes.map(node => {
		const first = byNode.get(node)?.find(applied => applied.version >= version && applied.at >= sentAt - 1);
		const before = byNode.get(node)?.some(applied => applied.version >= version && applied.at < sentAt - 1) ?? false;
		if (before) {
			return 0;
		}

		return first === undefined ? Number.POSITIVE_INFINITY : first.at - sentAt;
	}));
}
