/**
 * The operators' port: submissions, configuration, status, servers, time line.
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
	type ConfigurationAnswer, type DomainAnswer, type ExplainAnswer, type FleetAnswer,
	type NodeAnswer, type NodeStatusAnswer, type ServerAnswer,
} from './operator-messages.js';

/** @internal */
export type OperatorContext = {
	readonly domain: FailureDomain;
	readonly getConfiguration: () => Configuration;
	readonly getSnapshot: () => RoutingSnapshot | undefined;
	readonly getDirectory: () => Directory;
	readonly getStatus: () => NodeStatusAnswer;
	readonly getFleet: () => Promise<readonly Summary[]>;
	readonly submit: (submission: Submission) => Promise<SubmissionOutcome>;
	/** Yields the version that carried a submission out, 0 for none, or why that cannot be told. */
	readonly findSubmission: (id: SubmissionId) => Promise<number | string>;
	/** Writes this node's configuration back to a store that lost it. */
	readonly republish: () => Promise<string>;
	readonly localServers: LocalServers;
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

function tryOut(configuration: Configuration, submission: Submission): SubmissionOutcome {
	const problems = findItemProblems(submission.changes);
	if (problems.length > 0) {
		return {type: 'invalid', problems};
	}

	const evaluation = evaluateSubmission(configuration, configuration.tree, submission);
	return evaluation.type === 'settled' ? evaluation.outcome : {type: 'accepted', version: configuration.version + 1, isRepeated: false};
}

function listDomainAnswers(directory: Directory, summaries: readonly Summary[]): readonly DomainAnswer[] {
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

function explain(context: OperatorContext, snapshot: RoutingSnapshot, request: RequestAttributes): ExplainAnswer {
	const {version} = snapshot.configuration;
	return planCall(snapshot, request).match(
		({route, pool, decision}): ExplainAnswer => {
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
				problem: chosen === undefined ? `no backend server of ${pool.service} can be chosen` : '',
				servers: servers.map(({server}) => server.id),
			};
		},
		({route, detail}): ExplainAnswer => ({
			version, route, pool: '', policy: '', decision: undefined, problem: detail, servers: [],
		}),
	);
}

function addReadRoutes(app: Hono, context: OperatorContext): void {
	app.get('/v1/configuration', answer => {
		const {version, digest, ...rest} = context.getConfiguration();
		return answer.json({version, digest, items: listItems({version, digest, ...rest})} satisfies ConfigurationAnswer);
	});

	app.get('/v1/status', answer => answer.json(context.getStatus()));

	app.get('/v1/fleet', async answer => {
		const summaries = await context.getFleet();
		return answer.json({domains: listDomainAnswers(context.getDirectory(), summaries)} satisfies FleetAnswer);
	});

	app.get('/v1/nodes', answer => answer.json(listRecords(context.getDirectory()).map((record): NodeAnswer => ({
		node: record.id, failureDomain: record.failureDomain, status: record.status, operatorAddress: record.operatorAddress,
	}))));

	app.get('/v1/servers', answer => {
		const servers = [...context.getDirectory().services.keys()].toSorted().flatMap(service => listServers(context.getDirectory(), service));
		return answer.json(servers.map(({server, node}): ServerAnswer => ({
			server, node: node.id, failureDomain: node.failureDomain, nodeStatus: node.status, isEjected: context.loads.get(server.id).ejectedUntil > readNow(),
		})));
	});

	app.get('/v1/timeline', answer => {
		const {node, call, version, after} = answer.req.query();
		const filter: TimelineFilter = {
			...node === undefined ? {} : {node},
			...call === undefined ? {} : {call},
			...version === undefined ? {} : {version: Number(version)},
		};
		return answer.json(context.timeline.list(filter, Number(after ?? 0)));
	});

	app.get('/metrics', answer => answer.text(context.metrics.format()));
}

function addSubmissionRoutes(app: Hono, context: OperatorContext): void {
	app.post('/v1/submissions', async answer => {
		const body: unknown = await settle(answer.req.json());
		const parsed = submissionSchema.safeParse(body);
		if (!parsed.success) {
			return answer.json({type: 'invalid', problems: describeIssues(parsed.error).map(message => ({item: '', field: '', message}))} satisfies SubmissionOutcome, 422);
		}

		const isDryRun = answer.req.query('dry-run') === 'true';
		const outcome = isDryRun ? tryOut(context.getConfiguration(), parsed.data) : await context.submit(parsed.data);
		if (outcome.type === 'unavailable') {
			answer.header('retry-after', String(Math.ceil(outcome.retryAfterMs / 1000)));
		}

		return answer.json(outcome, outcomeStatus[outcome.type]);
	});

	app.get('/v1/submissions/:id', async answer => {
		const found = await context.findSubmission(toSubmissionId(answer.req.param('id')));
		return typeof found === 'string'
			? answer.json({type: 'unavailable', reason: found}, 503)
			: answer.json({type: found === 0 ? 'not-found' : 'accepted', version: found});
	});

	app.post('/v1/republish', async answer => {
		const problem = await context.republish();
		return problem === '' ? answer.json({type: 'republished', version: context.getConfiguration().version}) : answer.json({type: 'refused', reason: problem}, 409);
	});
}

/**
 * Creates the operators' HTTP interface.
 *
 * @param context - What its answers come from.
 * @returns The application.
 * @internal
 */
export function createOperatorApi(context: OperatorContext): Hono {
	const app = new Hono();
	addReadRoutes(app, context);
	addSubmissionRoutes(app, context);

	app.post('/v1/drain', async answer => {
		const body = z.strictObject({server: z.string().optional()}).safeParse(await settle(answer.req.json()) ?? {});
		if (!body.success) {
			return answer.json({reason: 'bad-request', problems: describeIssues(body.error)}, 400);
		}

		if (body.data.server === undefined) {
			context.localServers.drainAll();
			return answer.json({draining: context.localServers.list().map(({server}) => server.id)});
		}

		const id = toBackendServerId(body.data.server);
		return context.localServers.drain(id)
			? answer.json({draining: [id]})
			: answer.json({reason: 'unknown-server', problems: [`${id} is not beside this node; "stonemoor servers" shows beside which node it is`]}, 404);
	});

	app.post('/v1/explain', async answer => {
		const parsed = explainSchema.safeParse(await settle(answer.req.json()));
		const snapshot = context.getSnapshot();
		if (!parsed.success) {
			return answer.json({reason: 'bad-request', problems: describeIssues(parsed.error)}, 400);
		}

		if (snapshot === undefined) {
			return answer.json({reason: 'not-ready', problems: ['this node has no configuration that it may serve yet']}, 503);
		}

		const {headers, ...rest} = parsed.data;
		return answer.json(explain(context, snapshot, {...rest, headers: new Map(Object.entries(headers))}));
	});

	return app;
}
