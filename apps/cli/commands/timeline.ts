/**
 * `timeline`: prints the events of all nodes in causal order.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	formatEvent, sortEvents, type OperatorEndpoint, type TimelineEvent,
} from '../../../src/index.js';
import {createOperatorClient, type CommonOptions} from '../operator-client.js';

export type TimelineOptions = CommonOptions & {
	readonly onlyNode: string | undefined;
	readonly call: string | undefined;
	readonly version: number | undefined;
	readonly follow: boolean;
};

const followPollMs = 500;

function formatQuery(options: TimelineOptions, after: number): string {
	const query = new URLSearchParams({after: String(after)});
	for (const [name, value] of Object.entries({node: options.onlyNode, call: options.call, version: options.version})) {
		if (value !== undefined) {
			query.set(name, String(value));
		}
	}

	return query.toString();
}

type NodeEvents = {readonly node: string; readonly events: readonly TimelineEvent[] | undefined};

async function fetchEvents(node: OperatorEndpoint, query: string): Promise<NodeEvents> {
	try {
		const client = await createOperatorClient({node: node.operatorAddress, settings: undefined});
		return {node: node.node, events: await client.get<readonly TimelineEvent[]>(`/v1/timeline?${query}`)};
	} catch {
		return {node: node.node, events: undefined};
	}
}

function printEvents(options: TimelineOptions, events: readonly TimelineEvent[]): void {
	for (const event of sortEvents(events)) {
		process.stdout.write(`${options.json ? JSON.stringify(event) : formatEvent(event)}\n`);
	}
}

/** Fetches, merges and prints the timelines of all nodes. */
export async function runTimeline(options: TimelineOptions): Promise<void> {
	const client = await createOperatorClient(options);
	const lastTimes = new Map<string, number>();
	do {
		const nodes = await client.get<readonly OperatorEndpoint[]>('/v1/nodes');
		const fetched = await Promise.all(nodes.map(async node => fetchEvents(node, formatQuery(options, lastTimes.get(node.node) ?? 0))));
		for (const {node, events} of fetched) {
			if (events === undefined) {
				if (!options.follow) {
					process.stderr.write(`${node} does not answer; its events are missing\n`);
				}

				continue;
			}

			lastTimes.set(node, Math.max(lastTimes.get(node) ?? 0, ...events.map(event => event.time)));
		}

		printEvents(options, fetched.flatMap(({events}) => events ?? []));
		if (options.follow) {
			await sleep(followPollMs);
		}
	} while (options.follow);
}
