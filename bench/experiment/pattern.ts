/**
 * Load patterns of a mesh: services with their servers, kinds of request with
 * their rates, and disturbances of load and servers.
 *
 * @module
 */

/** Nested calls that a server makes while it runs a request. */
export type CallPlan = {
	readonly kind: string;
	readonly times: number;
	/** Share of the requests that make them. */
	readonly share: number;
	/** Whether all are sent at the same time, or one after another. */
	readonly isConcurrent: boolean;
};

/** One kind of request. Times are milliseconds. */
export type RequestKind = {
	readonly name: string;
	readonly service: string;
	/** New requests of callers a second in the whole mesh, without retries; 0 for nested calls. */
	readonly perSecond: number;
	readonly workMs: number;
	/** Standard deviation of the logarithm of the work, which has a log-normal distribution. */
	readonly workSpread: number;
	readonly targetLatencyMs: number;
	readonly deadlineMs: number;
	readonly timeoutMs: number;
	readonly priority: number;
	/** Worth of an answer within the target latency, and of a late one. */
	readonly worth: number;
	readonly lateWorth: number;
	/** Maximum number of retries of a caller. */
	readonly retries: number;
	readonly isRetryable: boolean;
	readonly calls: readonly CallPlan[];
	/** Share of the requests that take several times the work; none if omitted. */
	readonly heavy?: {readonly share: number; readonly factor: number};
	/** Whether the body or the response is large; `safe` or `unsafe`, by `isRetryable`, if omitted. */
	readonly type?: 'download' | 'upload';
	/** Bytes of the body and the response together; 0 if omitted. */
	readonly bytes?: number;
};

/** A service and its servers. */
export type ServicePlan = {
	readonly name: string;
	readonly slots: number;
	/** Speed of each server, as a factor of the normal work rate. */
	readonly speeds: readonly number[];
};

/** A temporary change of load or servers. */
export type Disturbance =
	/** Multiplies the rate of new requests by a factor. */
	| {readonly type: 'burst'; readonly fromMs: number; readonly toMs: number; readonly factor: number}
	/** Slows a share of the servers of a service down by a factor. */
	| {readonly type: 'slow'; readonly fromMs: number; readonly toMs: number; readonly service: string; readonly share: number; readonly factor: number}
	/** The servers of a service refuse a share of their requests. */
	| {readonly type: 'shedding'; readonly fromMs: number; readonly toMs: number; readonly service: string; readonly share: number}
	/** A share of the servers of a service is missing. */
	| {readonly type: 'gone'; readonly fromMs: number; readonly toMs: number; readonly service: string; readonly share: number}
	/** All servers of a failure domain are missing, and its callers use the nodes of the others. */
	| {readonly type: 'domain-lost'; readonly fromMs: number; readonly toMs: number; readonly domain: number}
	/** A share of the servers of a service names a limit, in requests per second. */
	| {readonly type: 'limited'; readonly fromMs: number; readonly toMs: number; readonly service: string; readonly share: number; readonly perSecond: number}
	/** A share of the callers ignores the retry delay of a refusal and retries immediately. */
	| {readonly type: 'impatient'; readonly fromMs: number; readonly toMs: number; readonly share: number};

/** A pattern of load. */
export type Pattern = {
	readonly name: string;
	readonly durationMs: number;
	readonly domains: number;
	/** One-way latency between failure domains. */
	readonly crossDomainOneWayMs: number;
	/** One-way latency between callers and their entry node. */
	readonly callerOneWayMs: number;
	/** Time that a node takes to forward a request. */
	readonly forwardingMs: number;
	readonly services: readonly ServicePlan[];
	readonly kinds: readonly RequestKind[];
	readonly disturbances: readonly Disturbance[];
	/** The VMs are shared with other work: a share of them, drawn anew every `everyMs`, takes longer by a factor. */
	readonly sharedVms?: {readonly share: number; readonly factor: number; readonly everyMs: number};
	/** Whether servers report their load and slowness in responses. */
	readonly hasLoadReports?: boolean;
	/** The demand of each failure domain swings by a share, with a phase shift between domains. */
	readonly swing?: {readonly share: number; readonly periodMs: number};
	/** Capacity of the link of each server's VM in megabits per second, repeated; unlimited if omitted. */
	readonly linkMbps?: readonly number[];
};

const fillSpeeds = (speeds: readonly number[], count: number): readonly number[] => Array.from({length: count}, (_, index) => speeds[index % speeds.length] ?? 1);

const commonKindFields = {
	priority: 2, worth: 1, lateWorth: 0.3, retries: 2, isRetryable: true, calls: [] as readonly CallPlan[],
} as const;

/** Pages that make look-ups at another service, publications, and small orders. The service of the pages has the least spare capacity. */
function createTieredKinds(load: number): readonly RequestKind[] {
	return [
		{
			...commonKindFields, name: 'page', service: 'pages', perSecond: 560 * load, workMs: 63, workSpread: 0.8, targetLatencyMs: 200, deadlineMs: 1200, timeoutMs: 1200,
			calls: [{
				kind: 'look-up', times: 2, share: 0.7, isConcurrent: false,
			}],
		},
		{
			...commonKindFields, name: 'publish', service: 'publishing', perSecond: 190 * load, workMs: 82, workSpread: 0.5, targetLatencyMs: 250, deadlineMs: 1500, timeoutMs: 800,
			priority: 1, worth: 2, lateWorth: 0.6, isRetryable: false, calls: [{
				kind: 'tags', times: 2, share: 0.7, isConcurrent: true,
			}],
		},
		{
			...commonKindFields, name: 'order', service: 'archive', perSecond: 150 * load, workMs: 50, workSpread: 0.4, targetLatencyMs: 150, deadlineMs: 1000, timeoutMs: 1000, isRetryable: false,
		},
		{
			...commonKindFields, name: 'look-up', service: 'publishing', perSecond: 0, workMs: 16, workSpread: 0.5, targetLatencyMs: 60, deadlineMs: 200, timeoutMs: 200, priority: 1, worth: 0, retries: 0,
		},
		{
			...commonKindFields, name: 'tags', service: 'archive', perSecond: 0, workMs: 16, workSpread: 0.5, targetLatencyMs: 60, deadlineMs: 200, timeoutMs: 200, priority: 1, worth: 0, retries: 0,
		},
	];
}

function createTieredPattern(name: string, load: number, disturbances: readonly Disturbance[]): Pattern {
	return {
		name, durationMs: 16_000, domains: 4, crossDomainOneWayMs: 1.4, callerOneWayMs: 3, forwardingMs: 1.2, disturbances,
		services: [
			{name: 'pages', slots: 13, speeds: fillSpeeds([0.6, 1, 1.4], 5)},
			{name: 'publishing', slots: 13, speeds: fillSpeeds([0.7, 0.7, 1.6], 4)},
			{name: 'archive', slots: 13, speeds: fillSpeeds([0.7, 0.7, 1.6], 4)},
		],
		kinds: createTieredKinds(load),
	};
}

/** Few slots and long work, so that a single slot is a considerable share of the capacity. */
function createLongWorkPattern(load: number): Pattern {
	return {
		name: 'long work', durationMs: 30_000, domains: 3, crossDomainOneWayMs: 1.4, callerOneWayMs: 2, forwardingMs: 1.2, disturbances: [],
		services: [{name: 'pages', slots: 4, speeds: fillSpeeds([0.6, 1, 1.4], 6)}],
		kinds: [{
			...commonKindFields, name: 'page', service: 'pages', perSecond: 60 * load, workMs: 400, workSpread: 0.7, targetLatencyMs: 1200, deadlineMs: 5000, timeoutMs: 5000,
		}],
	};
}

/** Few slots, objectives of about four service times, servers that differ in speed by three times, and hardly any worth for a late response: build logs, publications and bundles. */
function createBuildPattern(name: string, load: number, disturbances: readonly Disturbance[]): Pattern {
	const common = {...commonKindFields, lateWorth: 0.1};
	return {
		name, durationMs: 16_000, domains: 3, crossDomainOneWayMs: 1.4, callerOneWayMs: 1, forwardingMs: 3, disturbances,
		services: [
			{name: 'logs', slots: 6, speeds: fillSpeeds([0.5, 1, 1, 1.5], 10)},
			{name: 'releases', slots: 6, speeds: fillSpeeds([0.7, 0.7, 1.6], 14)},
			{name: 'bundles', slots: 6, speeds: fillSpeeds([0.7, 0.7, 1.6], 4)},
		],
		kinds: [
			{
				...common, name: 'log', service: 'logs', perSecond: 240 * load, workMs: 152, workSpread: 0.8, targetLatencyMs: 647, deadlineMs: 4316, timeoutMs: 2000,
				calls: [{
					kind: 'status', times: 1, share: 0.7, isConcurrent: true,
				}],
			},
			{
				...common, name: 'publish', service: 'releases', perSecond: 240 * load, workMs: 190, workSpread: 0.3, targetLatencyMs: 854, deadlineMs: 5339, timeoutMs: 2500,
				priority: 1, worth: 2, lateWorth: 0.2, isRetryable: false, calls: [{
					kind: 'look-up', times: 1, share: 0.7, isConcurrent: false,
				}],
			},
			{
				...common, name: 'upload', service: 'bundles', perSecond: 26 * load, workMs: 181, workSpread: 0.5, targetLatencyMs: 936, deadlineMs: 7017, timeoutMs: 3000,
				priority: 1, worth: 2, lateWorth: 0.2, isRetryable: false,
			},
			{
				...common, name: 'status', service: 'releases', perSecond: 0, workMs: 37, workSpread: 0.5, targetLatencyMs: 196, deadlineMs: 654, timeoutMs: 654, worth: 0, retries: 0,
			},
			{
				...common, name: 'look-up', service: 'bundles', perSecond: 0, workMs: 37, workSpread: 0.5, targetLatencyMs: 196, deadlineMs: 654, timeoutMs: 654, worth: 0, retries: 0,
			},
		],
	};
}

/** Servers that differ in speed and momentary slowness, and failure domains that take turns at their peak. */
function createUnevenPattern(name: string, load: number, disturbances: readonly Disturbance[]): Pattern {
	const common = {...commonKindFields, heavy: {share: 0.03, factor: 7}};
	const speeds = [0.55, 1.15, 0.85, 1.4, 0.7, 1, 1.3];
	return {
		name, durationMs: 20_000, domains: 3, crossDomainOneWayMs: 1.4, callerOneWayMs: 1, forwardingMs: 3, disturbances,
		sharedVms: {share: 0.15, factor: 2.5, everyMs: 600}, hasLoadReports: true, swing: {share: 0.55, periodMs: 15_000}, linkMbps: [10, 15, 12],
		services: [
			{name: 'logs', slots: 6, speeds: fillSpeeds(speeds, 50)},
			{name: 'releases', slots: 6, speeds: fillSpeeds(speeds, 15)},
		],
		kinds: [
			{
				...common, name: 'log', service: 'logs', perSecond: 740 * load, workMs: 130, workSpread: 0.5, targetLatencyMs: 632, deadlineMs: 4000, timeoutMs: 2000, bytes: 3000,
			},
			{
				...common, name: 'status', service: 'logs', perSecond: 450 * load, workMs: 42, workSpread: 0.4, targetLatencyMs: 231, deadlineMs: 1500, timeoutMs: 1000, bytes: 1000,
			},
			{
				...common, name: 'download', service: 'logs', perSecond: 300 * load, workMs: 150, workSpread: 0.5, targetLatencyMs: 893, deadlineMs: 5000, timeoutMs: 3000, type: 'download', bytes: 90_000,
			},
			{
				...common, name: 'publish', service: 'releases', perSecond: 290 * load, workMs: 150, workSpread: 0.4, targetLatencyMs: 754, deadlineMs: 5000, timeoutMs: 3000,
				priority: 1, worth: 2, lateWorth: 0.4, isRetryable: false, bytes: 6000,
			},
		],
	};
}

/** The patterns that `npm run experiment` can run. */
export const patterns: readonly Pattern[] = [
	createTieredPattern('calm', 0.7, []),
	createTieredPattern('full', 1, []),
	createTieredPattern('overload', 1.35, []),
	createTieredPattern('burst', 0.95, [{
		type: 'burst', fromMs: 6000, toMs: 9000, factor: 1.8,
	}]),
	createTieredPattern('slow servers', 0.95, [{
		type: 'slow', fromMs: 4000, toMs: 12_000, service: 'pages', share: 0.4, factor: 5,
	}]),
	createTieredPattern('shedding', 0.95, [{
		type: 'shedding', fromMs: 4000, toMs: 12_000, service: 'publishing', share: 0.5,
	}]),
	createTieredPattern('servers gone', 0.95, [{
		type: 'gone', fromMs: 4000, toMs: 12_000, service: 'pages', share: 0.4,
	}]),
	createTieredPattern('limited servers', 0.8, [{
		type: 'limited', fromMs: 4000, toMs: 12_000, service: 'pages', share: 0.4, perSecond: 25,
	}]),
	createTieredPattern('impatient callers', 1.1, [{
		type: 'impatient', fromMs: 2000, toMs: 14_000, share: 0.3,
	}]),
	createBuildPattern('builds', 0.9, []),
	createBuildPattern('builds, overload', 1.35, []),
	createBuildPattern('builds, burst', 0.9, [{
		type: 'burst', fromMs: 6000, toMs: 9000, factor: 1.7,
	}]),
	createBuildPattern('builds, servers gone', 0.9, [{
		type: 'gone', fromMs: 4000, toMs: 10_000, service: 'releases', share: 0.4,
	}]),
	createLongWorkPattern(1),
	{...createLongWorkPattern(1.3), name: 'long work, overload'},
	createUnevenPattern('uneven servers, calm', 0.9, []),
	createUnevenPattern('uneven servers, full', 1.25, []),
	createUnevenPattern('uneven servers, overload', 1.5, []),
	createUnevenPattern('uneven servers, domain lost', 0.75, [{
		type: 'domain-lost', fromMs: 7000, toMs: 13_000, domain: 1,
	}]),
	{...createUnevenPattern('uneven servers, no reports', 1.25, []), hasLoadReports: false},
];
