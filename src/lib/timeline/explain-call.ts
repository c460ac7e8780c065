/**
 * Reconstructs the steps of one request from the logs of any number of nodes,
 * and the cause of its result if the log lines show it.
 *
 * @module
 */
import {type AttemptRecord, type MeshEvent} from './mesh-log.js';

/** A line of a node's log. @public */
export type LogLine = MeshEvent & {
	/** ISO 8601, by the clock of the node that wrote it. */
	readonly time: string;
	readonly node: string;
};

/** The steps and the result of a request. @public */
export type CallExplanation = {
	/** One sentence for each event, in order. */
	readonly steps: readonly string[];
	/** The cause of the result, in one sentence. */
	readonly cause: string;
};

/**
 * Parses a log line.
 *
 * @param text - One line of a file, possibly with other text before the JSON.
 * @returns The log line, or `undefined` if the text is not a line of a node's log.
 * @public
 */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
		return typeof line.kind === 'string' && typeof line.node === 'string' && typeof line.time === 'string' ? line as LogLine : undefined;
	} catch {
		// Ignore other lines: other programs may write to the same file.
		return undefined;
	}
}

function describeAttempt({server, node, outcome, verdict, tookMs, infoAgeMs}: AttemptRecord): string {
	const age = infoAgeMs === undefined ? '' : `, chosen by a report ${infoAgeMs} ms old`;
	return `${server} beside ${node}: ${outcome} after ${tookMs} ms (${verdict}${age})`;
}

function describeLine(line: LogLine): string | undefined {
	switch (line.kind) {
		case 'attempt-failed': {
			return `${line.node} sent it on route ${line.route} to ${describeAttempt(line.attempt)}; ${line.next}`;
		}

		case 'gate-refused': {
			const load = `${line.running} running, ${line.waiting} waiting, ${line.serviceMs} ms each`;
			const limit = line.limitPerSecond === undefined ? '' : `, ${line.limitPerSecond} requests a second taken, caller ${line.caller}`;
			return `the gate of ${line.server} on ${line.node} refused it (${line.reason}): ${load}, maximum wait ${line.mayWaitMs} ms${limit}`;
		}

		case 'request-hung': {
			const next = line.isEnded ? 'its connection was closed' : 'the node waits for its deadline';
			return `${line.server} will not respond to it (${line.reason}): ${line.ageMs} ms, ${line.usualMs} ms for 99 in 100 requests; ${next}, ${line.limit} requests at a time from now on`;
		}

		case 'other-bytes-skipped': {
			const end = line.isAnswered ? 'its own response followed' : 'no response of its own arrived';
			return `${line.server} sent ${line.bytes} bytes that are not of its response, which were skipped; ${end}, ${line.ageMs} ms after it was sent`;
		}

		case 'request-overdue': {
			const evidence = line.isShown ? 'its load reports lack it, but the node had not looked at them' : `${line.covering} load reports since, which do not show that it was lost`;
			return `${line.server} did not respond to it within ${line.ageMs} ms, ${line.usualMs} ms for 99 in 100 requests; ${evidence}`;
		}

		case 'held-slot-released': {
			return `its slot at ${line.server} was held for ${line.heldMs} ms after it had been given up (${line.reason})`;
		}

		case 'request-refused': {
			return `${line.node} refused it with ${line.status}: ${line.reason} (${line.host}${line.path}, version ${line.version} in force)`;
		}

		case 'caller-refused': {
			const times = line.count > 1 ? `, the last of ${line.count} such refusals` : '';
			return `${line.node} refused it (${line.cause}): ${line.reason} (${line.place}${times})`;
		}

		case 'answer-not-sent': {
			return `its connection to ${line.node} closed before the answer ${line.status} was sent`;
		}

		case 'caller-left': {
			return `its caller disconnected from ${line.node} within ${line.waitedMs} ms, before it was sent to a server`;
		}

		case 'call-finished': {
			const workspace = line.workspace === undefined ? '' : `workspace ${line.workspace}, `;
			const place = `${workspace}version ${line.version} in force, ${line.attempts.length} attempts (${line.verdict})`;
			return `${line.node} answered ${line.status} after ${line.tookMs} ms with ${line.leftMs} ms left, ${place}: ${line.reason}`;
		}

		default: {
			return undefined;
		}
	}
}

/** Explanations of the reasons for operators. */
const causeTexts: Readonly<Record<string, string>> = {
	full: 'no backend server of the service had a slot in time: the service was overloaded, or many of its servers were down',
	'over-share': 'there were not enough slots, and the workspace of the caller asked for clearly more than it usually does (search for "over-share")',
	limited: 'the backend servers take fewer requests a second than callers send: each that was tried has used up the limit that it names (search for "server-limit-changed")',
	draining: 'the backend servers that were tried were leaving',
	gone: 'the backend server had restarted or been replaced, and this node did not know that yet',
	'server-unreachable': 'the backend server could not be reached by the node beside it: it was down or starting',
	'node-unreachable': 'the node beside the backend server could not be reached: it was down, starting, or partitioned from the network',
	shed: 'the backend servers reported that they did not execute it',
	'connection-lost': 'the connection was lost after the request had been sent: the backend server or its node ended, or closed the connection',
	hung: 'the backend server did not respond to it and will not: it does not report it, or has responded to requests sent later (search for "request-hung")',
	'server-crashed': 'the backend server crashed while the request was in flight there, and the request may be the cause: it was not sent to another server',
	quarantined: 'backend servers crashed each time such a request was in flight: it is not sent to other servers (search for "request-suspected" and "server-crashed" with its fingerprint)',
	unauthorized: 'the key was valid when the request arrived, and a new configuration version withdrew it while the request waited',
	'workspace-changed': 'a new configuration version moved the key to another workspace while the request waited; the request may be sent again',
	'config-outdated': 'the key is unknown to a node that had not received the newest configuration version yet; the request may be sent again',
	'wrong-answer': 'the backend server sent an invalid response to this request',
	'no-server': 'no backend server of the service was known',
	timeout: 'its deadline passed before the backend server responded',
	cancelled: 'the caller left before the response',
	superseded: 'the node beside the backend server became silent while the request was in flight',
};

/** Checks whether an event of a server or a node may explain the result of a request that involved it. */
function isRelated(line: LogLine, names: ReadonlySet<string>): boolean {
	switch (line.kind) {
		case 'peer-lost':
		case 'peer-avoided': {
			return names.has(line.peer);
		}

		case 'peer-seen': {
			return names.has(line.peer) && line.news !== 'changed';
		}

		case 'server-draining':
		case 'server-limit-changed':
		case 'server-doubted':
		case 'server-crashed':
		case 'server-announced': {
			return names.has(line.server);
		}

		case 'node-started':
		case 'node-draining':
		case 'node-stopped':
		case 'node-failed': {
			return names.has(line.node);
		}

		default: {
			return false;
		}
	}
}

/** Events within this time before or after the end of a request may explain its result. */
const relatedEventsWindowMs = 5000;

/** The last event of a request at the node that received it. */
type EndLine = Extract<LogLine, {readonly kind: 'call-finished' | 'request-refused' | 'caller-left'}> | Extract<LogLine, {readonly cause: unknown}>;

const isEnd = (line: LogLine): line is EndLine => line.kind === 'call-finished' || line.kind === 'request-refused' || line.kind === 'caller-refused' || line.kind === 'caller-left';

function findCause(lines: readonly LogLine[]): string {
	const end = lines.findLast(line => isEnd(line));
	if (end === undefined) {
		return 'the logs do not contain the end of the request: the node that received it ended first, lines were dropped (search for "lines-dropped"), or the first attempt succeeded';
	}

	if (end.kind === 'caller-left') {
		return causeTexts.cancelled!;
	}

	if (end.kind !== 'call-finished') {
		return end.reason;
	}

	const reason = end.reason.split(':')[0] ?? '';
	if (reason === 'answered') {
		return end.status >= 500 ? 'the backend server responded with an error' : 'the backend server responded';
	}

	return causeTexts[reason] ?? reason;
}

/**
 * Explains the result of one request.
 *
 * @param lines - Log lines of any number of nodes, in any order.
 * @param call - The id of the request.
 * @returns The explanation, or `undefined` if no line contains the id.
 * @public
 */
export function explainCall(lines: readonly LogLine[], call: string): CallExplanation | undefined {
	const own = lines.filter(line => 'call' in line && line.call === call).toSorted((left, right) => left.time < right.time ? -1 : 1);
	const last = own.at(-1);
	if (last === undefined) {
		return undefined;
	}

	const attempts = own.flatMap(line => line.kind === 'call-finished' ? line.attempts : (line.kind === 'attempt-failed' ? [line.attempt] : []));
	const names = new Set([...attempts.flatMap(({server, node}) => [server, node]), ...own.map(({node}) => node)]);
	const endedAt = Date.parse(last.time);
	const around = lines.filter(line => isRelated(line, names) && Math.abs(endedAt - Date.parse(line.time)) <= relatedEventsWindowMs);
	const steps = [...own, ...around].toSorted((left, right) => left.time < right.time ? -1 : 1).map(line => {
		const text = describeLine(line) ?? `meanwhile ${line.node}: ${line.kind} ${JSON.stringify({
			...line, time: undefined, node: undefined, kind: undefined, level: undefined,
		})}`;
		return `${line.time.slice(11, 23)}  ${text}`;
	});
	return {steps: [...new Set(steps)], cause: findCause(own)};
}
