/**
 * Tells the story of one request from the logs of any number of nodes, and
 * names its cause where the lines show it.
 *
 * @module
 */
import {type AttemptRecord, type MeshEvent} from './mesh-log.js';

/** One line of a log. @public */
export type LogLine = MeshEvent & {
	/** ISO 8601, by the clock of the node that wrote it. */
	readonly time: string;
	readonly node: string;
};

/** What became of a request. @public */
export type CallExplanation = {
	/** One sentence an event, in order. */
	readonly steps: readonly string[];
	/** Why it ended as it did, in one sentence. */
	readonly cause: string;
};

/**
 * Reads a log line.
 *
 * @param text - One line of a file, perhaps with something before the JSON.
 * @returns The line, or `undefined` if the text is none.
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
		// Other programs write to the same files; what is no line of ours is passed over.
		return undefined;
	}
}

function describeAttempt({server, node, outcome, verdict, tookMs, infoAgeMs}: AttemptRecord): string {
	const age = infoAgeMs === undefined ? '' : `, chosen by what was heard ${infoAgeMs} ms before`;
	return `${server} beside ${node}: ${outcome} after ${tookMs} ms (${verdict}${age})`;
}

function describeLine(line: LogLine): string | undefined {
	switch (line.kind) {
		case 'attempt-failed': {
			return `${line.node} sent it on route ${line.route} to ${describeAttempt(line.attempt)}; ${line.next}`;
		}

		case 'gate-refused': {
			const load = `${line.running} running, ${line.waiting} waiting, ${line.serviceMs} ms each`;
			return `the gate of ${line.server} on ${line.node} turned it away (${line.reason}): ${load}, it might wait ${line.mayWaitMs} ms`;
		}

		case 'request-refused': {
			return `${line.node} refused it with ${line.status}: ${line.reason} (${line.host}${line.path}, version ${line.version} in force)`;
		}

		case 'caller-left': {
			return `its caller left ${line.node} within ${line.waitedMs} ms, before it was sent anywhere`;
		}

		case 'call-finished': {
			const place = `version ${line.version} in force, ${line.attempts.length} attempts (${line.verdict})`;
			return `${line.node} answered ${line.status} after ${line.tookMs} ms with ${line.leftMs} ms left, ${place}: ${line.reason}`;
		}

		default: {
			return undefined;
		}
	}
}

/** What reasons mean, for people who do not know the code. */
const causeTexts: Readonly<Record<string, string>> = {
	full: 'no backend server of the service had a slot in time: the service was overloaded, or many of its servers were away',
	draining: 'the backend servers that were asked were leaving',
	gone: 'the backend server had started again or been replaced, and this node had not heard of it yet',
	'server-unreachable': 'the backend server could not be reached by the node beside it: it had ended or was starting',
	'node-unreachable': 'the node beside the backend server could not be reached: it had ended, was starting, or was cut off',
	shed: 'the backend servers said themselves that they did not run it',
	'connection-lost': 'the connection was lost after the request had been sent: the backend server, or its node, ended or broke off',
	'server-crashed': 'the backend server crashed while it was in work there, and it may be the reason: it was not sent to another one',
	quarantined: 'backend servers crashed each time that such a request was in work: it is kept from the others (look for "request-suspected" and "server-crashed" with its fingerprint)',
	'wrong-answer': 'the backend server sent what was no answer to this request',
	'no-server': 'no backend server of the service was known',
	timeout: 'its time was over before the backend server answered',
	cancelled: 'the caller left before the answer',
	superseded: 'the node beside the backend server fell silent while it was in work',
};

/** Events that explain what happened to a server or a node around that time. */
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

/** Events this long before a request's end may explain it. Milliseconds. */
const relatedEventsWindowMs = 5000;

function findCause(lines: readonly LogLine[]): string {
	const end = lines.findLast(line => line.kind === 'call-finished' || line.kind === 'request-refused' || line.kind === 'caller-left');
	if (end === undefined) {
		return 'the logs do not hold its end: the node that took it ended first, the lines were left out (look for "lines-dropped"), or it was answered at the first try';
	}

	if (end.kind === 'request-refused') {
		return end.reason;
	}

	if (end.kind === 'caller-left') {
		return causeTexts.cancelled!;
	}

	const reason = end.reason.split(':')[0] ?? '';
	if (reason === 'answered') {
		return end.status >= 500 ? 'the backend server itself failed it' : 'it was answered';
	}

	return causeTexts[reason] ?? reason;
}

/**
 * Tells the story of one request.
 *
 * @param lines - Lines of any number of nodes, in any order.
 * @param call - The request's id.
 * @returns The story, or `undefined` if no line speaks of it.
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
