/**
 * Counters and latency histograms of a sidecar node, in the Prometheus text
 * format.
 *
 * @module
 */
import Int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';
import {type FinishedCall} from '../forwarding/entry-context.js';
import {type QuotaOutcome} from '../quotas/quotas.js';
import {getPriority} from '../decisions/priority-admission.js';
import {type LimitedOutcome} from '../server-notices/server-limiter.js';
import {workspaceCallsMetric} from '../workspaces/explain-workspaces.js';
import {createWorkspaceCounter} from '../workspaces/workspace-counter.js';
import {
	type MeshEvent, type MeshLog, type RefusalCause, type RefusalKind,
} from '../timeline/mesh-log.js';

/** A value that is read when metrics are scraped. @internal */
export type Gauge = {
	readonly name: string;
	readonly help: string;
	/** `undefined` if there is no value; the gauge is left out then. */
	readonly read: () => number | undefined;
};

/** @internal */
export type MeshMetrics = {
	/** Counts a call by route, service, status and verdict, and by its workspace if it has one; by the reason of its end too if a server may have run it and it has no response of one. */
	readonly recordCall: (call: FinishedCall) => void;
	/** Counts a request of a workspace that ended before it became a call. */
	readonly countWorkspaceCall: (workspace: string, outcome: string) => void;
	/** Records how late a timer fired: the time for which the event loop was busy or the process was paused. */
	readonly recordLoopDelay: (milliseconds: number) => void;
	/** Counts refused input, most of which has no log line of its own. */
	readonly countRefusal: (kind: RefusalKind, cause: RefusalCause) => void;
	/** Counts the requests to a backend server that names a limit. */
	readonly countLimited: (caller: string, outcome: LimitedOutcome) => void;
	/** Counts the requests of workspaces with a quota. */
	readonly countQuota: (workspace: string, outcome: QuotaOutcome) => void;
	/** Returns a log that counts each event and passes it on to a given log. */
	readonly countEvents: (log: MeshLog) => MeshLog;
	readonly format: (gauges: readonly Gauge[]) => string;
};

/** Longer latencies are recorded as this value. With two significant digits a histogram takes about ten kilobytes. */
const maxLatencyMs = 60_000;
const significantDigits = 2;

const percentiles: readonly number[] = [50, 90, 99, 99.9];

type Histogram = {
	readonly recordValue: (value: number) => void;
	readonly getValueAtPercentile: (percentile: number) => number;
	readonly totalCount: number;
};

// The package is CommonJS without named exports, so the shape of the import depends on the module loader.
const histogramConstructor = ('default' in Int32Histogram ? Int32Histogram.default : Int32Histogram) as unknown as () => unknown;

const createHistogram = (): Histogram => Reflect.construct(histogramConstructor, [1, maxLatencyMs, significantDigits]) as Histogram;

const formatLabels = (labels: Readonly<Record<string, string | number>>): string =>
	Object.entries(labels).map(([name, value]) => `${name}="${String(value).replaceAll(/["\\\n]/g, '_')}"`).join(',');

function formatSummary(name: string, labels: Readonly<Record<string, string>>, histogram: Histogram): readonly string[] {
	return [
		...percentiles.map(percentile => `${name}{${formatLabels({...labels, quantile: Number((percentile / 100).toFixed(4))})}} ${histogram.getValueAtPercentile(percentile)}`),
		`${name}_count{${formatLabels(labels)}} ${histogram.totalCount}`,
	];
}

function formatGauge({name, help, read}: Gauge): readonly string[] {
	const value = read();
	return value === undefined ? [] : [`# HELP ${name} ${help}`, `# TYPE ${name} gauge`, `${name} ${value}`];
}

/** A counter with labels. Label names are added when metrics are scraped, so that a call formats no text. */
type Counter = {
	readonly add: (...values: ReadonlyArray<string | number>) => void;
	readonly format: () => readonly string[];
};

/** Returns the reason of a call without its details. */
const getReasonCode = (reason: string): string => reason.split(':', 1)[0]!;

/** Separates label values in a key; it does not occur in any of them. */
const labelSeparator = '\0';

function createCounter(name: string, ...labels: readonly string[]): Counter {
	const counts = new Map<string, number>();
	return {
		add(...values) {
			const key = values.join(labelSeparator);
			counts.set(key, (counts.get(key) ?? 0) + 1);
		},
		format: () => [...counts].map(([key, count]) => {
			const values = key.split(labelSeparator);
			return `${name}{${formatLabels(Object.fromEntries(values.map((value, index) => [labels[index]!, value])))}} ${count}`;
		}),
	};
}

/**
 * @returns Metrics without any recorded calls or events.
 * @internal
 */
export function createMeshMetrics(): MeshMetrics {
	const calls = createCounter('stonemoor_calls_total', 'route', 'service', 'status', 'verdict');
	const attempts = createCounter('stonemoor_attempts_total', 'service', 'outcome');
	const unansweredRuns = createCounter('stonemoor_unanswered_runs_total', 'service', 'reason');
	const events = createCounter('stonemoor_events_total', 'kind', 'reason');
	const refusals = createCounter('stonemoor_refusals_total', 'kind', 'cause');
	const limited = createCounter('stonemoor_limited_requests_total', 'caller', 'outcome');
	const workspaceCalls = createWorkspaceCounter();
	const quotas = createCounter('stonemoor_quota_requests_total', 'workspace', 'outcome');
	const heldBack = createCounter('stonemoor_held_back_requests_total', 'cause', 'priority', 'workspace');
	const latencies = new Map<string, Histogram>();
	const loopDelays = createHistogram();

	const getLatencyHistogram = (service: string): Histogram => {
		const existing = latencies.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const histogram = createHistogram();
		latencies.set(service, histogram);
		return histogram;
	};

	/** Counts a request that a gate refused in favour of others, by what it was held back for. */
	const countHeldBack = ({fullCause, rank, workspace = ''}: Extract<MeshEvent, {readonly kind: 'gate-refused'}>): void => {
		if (fullCause !== undefined && fullCause !== 'no-slot') {
			heldBack.add(fullCause, getPriority(rank), workspace);
		}
	};

	return {
		recordCall(call) {
			const {route, service, status, verdict} = call;
			calls.add(route, service, status, verdict);
			for (const {outcome} of call.attempts) {
				attempts.add(service, outcome);
			}

			const reason = getReasonCode(call.reason);
			if (verdict !== 'not-run' && reason !== 'answered') {
				unansweredRuns.add(service, reason);
			}

			if (call.workspace !== undefined) {
				workspaceCalls.add(call.workspace, reason);
			}

			getLatencyHistogram(service).recordValue(Math.min(maxLatencyMs, Math.max(1, call.tookMs)));
		},
		countWorkspaceCall: workspaceCalls.add,
		recordLoopDelay(milliseconds) {
			loopDelays.recordValue(Math.min(maxLatencyMs, Math.max(1, Math.round(milliseconds))));
		},
		countRefusal(kind, cause) {
			refusals.add(kind, cause);
		},
		countLimited(caller, outcome) {
			limited.add(caller, outcome);
		},
		countQuota(workspace, outcome) {
			quotas.add(workspace, outcome);
		},
		countEvents: log => ({
			record(level, event) {
				if (event.kind === 'gate-refused') {
					countHeldBack(event);
				}

				if (event.kind === 'gate-refused' || event.kind === 'request-hung' || event.kind === 'held-slot-released') {
					events.add(event.kind, event.reason);
				} else {
					events.add(event.kind);
				}

				log.record(level, event);
			},
		}),
		format(gauges) {
			const lines = [
				...calls.format(),
				...attempts.format(),
				...unansweredRuns.format(),
				...events.format(),
				...refusals.format(),
				...limited.format(),
				...workspaceCalls.list().map(({workspace, outcome, count}) => `${workspaceCallsMetric}{${formatLabels({workspace, outcome})}} ${count}`),
				...quotas.format(),
				...heldBack.format(),
				...[...latencies].flatMap(([service, histogram]) => formatSummary('stonemoor_call_milliseconds', {service}, histogram)),
				...formatSummary('stonemoor_loop_delay_milliseconds', {}, loopDelays),
				...gauges.flatMap(gauge => formatGauge(gauge)),
			];
			return `${lines.join('\n')}\n`;
		},
	};
}
