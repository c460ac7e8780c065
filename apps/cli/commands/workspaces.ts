/**
 * `workspaces`: shows which workspaces send requests, and what becomes of them,
 * from the metrics of sidecar nodes.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request as sendRequest} from 'undici';
import {explainWorkspaces, type WorkspacesExplanation} from '../../../src/index.js';
import {CommandError, exitCodes} from '../exit-codes.js';
import {formatTable} from '../format-table.js';

export type WorkspacesOptions = {
	/** `IP:PORT` at which each node serves its metrics. */
	readonly addresses: readonly string[];
	/** Time between the two readings of the metrics. */
	readonly seconds: number;
	readonly json: boolean;
};

/** Much longer than a node takes, also under overload. */
const responseTimeoutMs = 5000;

async function readMetrics(address: string): Promise<string> {
	try {
		const {statusCode, body} = await sendRequest(`http://${address}/metrics`, {headersTimeout: responseTimeoutMs, bodyTimeout: responseTimeoutMs});
		const text = await body.text();
		if (statusCode !== 200) {
			throw new Error(`status ${statusCode}`);
		}

		return text;
	} catch (error) {
		throw new CommandError(`${address}: the metrics cannot be read: ${(error as Error).message}; pass the address "listen.metrics" of a node's settings`, exitCodes.unavailable);
	}
}

const formatReasons = (reasons: WorkspacesExplanation['unidentified']): string => reasons.map(({reason, count}) => `${count} ${reason}`).join(', ');

function formatWorkspaces({workspaces, unidentified}: WorkspacesExplanation, seconds: number): string {
	const rows = workspaces.map(({workspace, asked, answered, refused}) => [
		workspace ?? '(others)', (asked / seconds).toFixed(1), (answered / seconds).toFixed(1), `${(100 * answered / asked).toFixed(1)} %`, formatReasons(refused),
	]);
	const table = rows.length === 0 ? 'no request of a workspace ended' : formatTable(['workspace', 'asked/s', 'answered/s', 'share', 'not answered, by reason'], rows);
	return unidentified.length === 0 ? table : `${table}\nnot identified: ${formatReasons(unidentified)}`;
}

/** Prints the requests of each workspace that ended within the next seconds, summed over the nodes. */
export async function runWorkspaces({addresses, seconds, json}: WorkspacesOptions): Promise<void> {
	if (addresses.length === 0 || !(seconds > 0)) {
		throw new CommandError('pass the address of the metrics of at least one node, and more than 0 seconds', exitCodes.usage);
	}

	const before = await Promise.all(addresses.map(async address => readMetrics(address)));
	await sleep(seconds * 1000);
	const after = await Promise.all(addresses.map(async address => readMetrics(address)));
	const explanation = explainWorkspaces(after.map((text, index) => ({before: before[index]!, after: text})));
	process.stdout.write(`${json ? JSON.stringify(explanation) : formatWorkspaces(explanation, seconds)}\n`);
}
