/**
 * The HTTP API of the operators' port: submissions, configuration, status, servers, timeline.
 *
 * @module
 */
import {Hono} from 'hono';
import {z} from 'zod';
import {type ServerLoads} from '../routing/server-load.js';
import {chooseServer} from '../routing/choose-server.js';
import {settle} from '../common/settle.js';
import {readNow} from '../common/clock.js';
import {
	toBackendServerId, toSubmissionId, type FailureDomain, type SubmissionId,
} from '../common/ids.js';
import {planCall} from '../calls/call-plan.js';
import {type RoutingSnapshot} from '../routing/routing-snapshot.js';
import {type CallMetrics} from '../calls/call-metrics.js';
import {type LocalServers} from '../calls/local-servers.js';
import {listItems, type Configuration} from '../configuration/configuration.js';
import {evaluateSubmission, findItemProblems} from '../configuration/evaluate-submission.js';
import {submissionSchema, type Submission, type SubmissionOutcome} from '../configuration/submission.js';
import {listRecords, listServers, type Directory} from '../directory/directory.js';
import {isUsable} from '../directory/node-record.js';
import {type Summary} from '../distribution/summary.js';
import {type RequestAttributes} from '../policy/request-attributes.js';
import {type Timeline} from '../timeline/timeline.js';
import {type TimelineFilter} from '../timeline/timeline-event.js';
import {
	type ConfigurationResponse, type DomainStatus, type ExplainResponse, type FleetResponse,
	type OperatorEndpoint, type NodeStatusResponse, type ServerStatus,
} from './operator-messages.js';

/** @internal */
export type OperatorContext = {
	readonly domain: FailureDomain;
	readonly getConfiguration: () => Configuration;
	readonly getSnapshot: () => RoutingSnapshot | undefined;
	readonly getDirectory: () => Directory;
	readonly getStatus: () => NodeStatusResponse;
	readonly getFleet: () => Promise<readonly Summary[]>;
	readonly submit: (submission: Submission) => Promise<SubmissionOutcome>;
	/** Returns the version that applied a submission, 0 if no version did, or the reason why this is unknown. */
	readonly findSubmission: (id: SubmissionId) => Promise<number | string>;
	/** Writes this node's configuration to a store that has lost it. Returns an empty string, or why it was refused. */
	readonly republish: () => Promise<string>;
	readonly localServers: LocalServers;
	/** Tells other nodes of a drain; resolves with whether one has received it. */
	readonly pushOwnRecord: () => Promise<boolean>;
	readonly loads: ServerLoads;
	readonly metrics: CallMetrics;
	readonly timeline: Timeline;
	readonly random: () => number;
};

const outcomeStatus: Readonly<Record<SubmissionOutcome['type'], 200 | 409 | 410 | 422 | 503 | 504>> = {
	accepted: 200, unchanged: 200, invalid: 422, conflict: 409, expired: 410, unavailable: 503, unknown: 504,
};

const explainSchema = z.strictObject({
	method: z.string().default('GET'),
	host: z.string().default(''),
	path: z.string().startsWith('/').default('/'),
	headers: z.record(z.string(), z.string()).default({}),
	size: z.int().min(-1).default(0),
	caller: z.string().default('127.0.0.1'),
}).readonly();

function describeIssues(error: z.ZodError): readonly string[] {
	return error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`);
}

function evaluateDryRun(configuration: Configuration, submission: Submission): SubmissionOutcome {
	const problems = findItemProblems(submission.changes);
	if (problems.length > 0) {
		return {type: 'invalid', problems};
	}

	const evaluation = evaluateSubmission(configuration, configuration.tree, submission);
	return evaluation.type === 'settled' ? evaluation.outcome : {type: 'accepted', version: configuration.version + 1, isRepeated: false};
}

function listDomains(directory: Directory, summaries: readonly Summary[]): readonly DomainStatus[] {
	const expected = new Map<string, number>();
	for (const record of listRecords(directory).filter(candidate => isUsable(candidate))) {
		expected.set(record.failureDomain, (expected.get(record.failureDomain) ?? 0) + 1);
	}

	return [...expected]
		.toSorted(([left], [right]) => left < right ? -1 : 1)
		.map(([failureDomain, count]) => ({
			failureDomain, expected: count, summary: summaries.find(summary => summary.failureDomain === failureDomain),
		}));
}

function explain(context: OperatorContext, snapshot: RoutingSnapshot, request: RequestAttributes): ExplainResponse {
	const {version} = snapshot.configuration;
	return planCall(snapshot, request).match(
		({route, pool, decision}): ExplainResponse => {
			const servers = listServers(context.getDirectory(), pool.service);
			const chosen = chooseServer({
				servers, pool, domain: context.domain, tried: new Set(), mayReuse: false, getLoad: context.loads.get, now: readNow(), random: context.random,
			});
			return {
				version,
				route: route.name,
				pool: pool.name,
				policy: route.policy,
				decision,
				problem: chosen === undefined ? `no backend server of ${pool.service} is available` : '',
				servers: servers.map(({server}) => server.id),
			};
		},
		({route, detail}): ExplainResponse => ({
			version, route, pool: '', policy: '', decision: undefined, problem: detail, servers: [],
		}),
	);
}

function addReadRoutes(app: Hono, context: OperatorContext): void {
	app.get('/v1/configuration', exchange => {
		const {version, digest, ...rest} = context.getConfiguration();
		return exchange.json({version, digest, items: listItems({version, digest, ...rest})} satisfies ConfigurationResponse);
	});

	app.get('/v1/status', exchange => exchange.json(context.getStatus()));

	app.get('/v1/fleet', async exchange => {
		const summaries = await context.getFleet();
		return exchange.json({domains: listDomains(context.getDirectory(), summaries)} satisfies FleetResponse);
	});

	app.get('/v1/nodes', exchange => exchange.json(listRecords(context.getDirectory()).map((record): OperatorEndpoint => ({
		node: record.id, failureDomain: record.failureDomain, status: record.status, operatorAddress: record.operatorAddress,
	}))));

	app.get('/v1/servers', exchange => {
		const servers = [...context.getDirectory().services.keys()].toSorted().flatMap(service => listServers(context.getDirectory(), service));
		return exchange.json(servers.map(({server, node}): ServerStatus => ({
			server, node: node.id, failureDomain: node.failureDomain, nodeStatus: node.status, isEjected: context.loads.get(server.id).ejectedUntil > readNow(),
		})));
	});

	app.get('/v1/timeline', exchange => {
		const {node, call, version, after} = exchange.req.query();
		const filter: TimelineFilter = {
			...node === undefined ? {} : {node},
			...call === undefined ? {} : {call},
			...version === undefined ? {} : {version: Number(version)},
		};
		return exchange.json(context.timeline.list(filter, Number(after ?? 0)));
	});

	app.get('/metrics', exchange => exchange.text(context.metrics.format()));
}

function addSubmissionRoutes(app: Hono, context: OperatorContext): void {
	app.post('/v1/submissions', async exchange => {
		const body: unknown = await settle(exchange.req.json());
		const parsed = submissionSchema.safeParse(body);
		if (!parsed.success) {
			return exchange.json({type: 'invalid', problems: describeIssues(parsed.error).map(message => ({item: '', field: '', message}))} satisfies SubmissionOutcome, 422);
		}

		const isDryRun = exchange.req.query('dry-run') === 'true';
		const outcome = isDryRun ? evaluateDryRun(context.getConfiguration(), parsed.data) : await context.submit(parsed.data);
		if (outcome.type === 'unavailable') {
			exchange.header('retry-after', String(Math.ceil(outcome.retryAfterMs / 1000)));
		}

		return exchange.json(outcome, outcomeStatus[outcome.type]);
	});

	app.get('/v1/submissions/:id', async exchange => {
		const found = await context.findSubmission(toSubmissionId(exchange.req.param('id')));
		return typeof found === 'string'
			? exchange.json({type: 'unavailable', reason: found}, 503)
			: exchange.json({type: found === 0 ? 'not-found' : 'accepted', version: found});
	});

	app.post('/v1/republish', async exchange => {
		const problem = await context.republish();
		return problem === '' ? exchange.json({type: 'republished', version: context.getConfiguration().version}) : exchange.json({type: 'refused', reason: problem}, 409);
	});
}

/**
 * Creates the HTTP API for operators.
 *
 * @param context - The state and functions of the node that the API uses.
 * @returns The Hono application.
 * @internal
 */
export function createOperatorApi(context: OperatorContext): Hono {
	const app = new Hono();
	addReadRoutes(app, context);
	addSubmissionRoutes(app, context);

	app.post('/v1/drain', async exchange => {
		const body = z.strictObject({server: z.string().optional()}).safeParse(await settle(exchange.req.json()) ?? {});
		if (!body.success) {
			return exchange.json({reason: 'bad-request', problems: describeIssues(body.error)}, 400);
		}

		if (body.data.server === undefined) {
			const draining = context.localServers.list().map(({server}) => server.id);
			for (const id of draining) {
				context.localServers.drain(id);
			}

			return exchange.json({draining, replicated: await context.pushOwnRecord()});
		}

		const id = toBackendServerId(body.data.server);
		return context.localServers.drain(id)
			? exchange.json({draining: [id], replicated: await context.pushOwnRecord()})
			: exchange.json({reason: 'unknown-server', problems: [`backend server ${id} is not beside this node; "stonemoor servers" lists the node of each server`]}, 404);
	});

	app.post('/v1/explain', async exchange => {
		const parsed = explainSchema.safeParse(await settle(exchange.req.json()));
		const snapshot = context.getSnapshot();
		if (!parsed.success) {
			return exchange.json({reason: 'bad-request', problems: describeIssues(parsed.error)}, 400);
		}

		if (snapshot === undefined) {
			return exchange.json({reason: 'not-ready', problems: ['this node is not ready: it has no configuration to serve yet']}, 503);
		}

		const {headers, ...rest} = parsed.data;
		return exchange.json(explain(context, snapshot, {...rest, headers: new Map(Object.entries(headers))}));
	});

	return app;
}
