/**
 * `get`, `status`, `servers`, `drain`, `republish` and `call`: commands for a running mesh.
 *
 * @module
 */
import process from 'node:process';
import {request as sendRequest} from 'undici';
import {stringify} from 'yaml';
import {
	findConvergenceProblems,
	type ConfigurationResponse, type ExplainResponse, type FleetResponse, type Item, type NodeStatusResponse, type ServerStatus,
} from '../../../src/index.js';
import {CommandError, exitCodes} from '../exit-codes.js';
import {formatTable} from '../format-table.js';
import {createOperatorClient, printResult, type CommonOptions} from '../operator-client.js';

function formatDocument({items}: ConfigurationResponse): string {
	const listKind = (kind: Item['kind']): readonly unknown[] => items
		.filter(({item}) => item.kind === kind)
		.map(({item: {kind: _, ...fields}}) => fields);
	return stringify({routes: listKind('route'), pools: listKind('pool'), policies: listKind('policy')}).trimEnd();
}

/** Prints the active configuration as a document that can be submitted. */
export async function runGet(options: CommonOptions): Promise<void> {
	const client = await createOperatorClient(options);
	const configuration = await client.get<ConfigurationResponse>('/v1/configuration');
	printResult(options, configuration, () => `# version ${configuration.version}, digest ${configuration.digest}\n${formatDocument(configuration)}`);
}

function formatFleet(fleet: FleetResponse, status: NodeStatusResponse): string {
	const rows = fleet.domains.map(({failureDomain, expected, summary}) => [
		failureDomain,
		summary === undefined ? `?/${expected}` : `${summary.nodes}/${expected}`,
		summary === undefined ? '?' : String(summary.lowestVersion),
		summary === undefined ? '?' : String(summary.highestVersion),
	]);
	const newest = Math.max(status.version, ...fleet.domains.map(({summary}) => summary?.highestVersion ?? 0));
	const missing = findConvergenceProblems(fleet, newest);
	const relay = status.relay === status.node ? 'this node is the relay' : `its relay is ${status.relay}`;
	return [
		`node ${status.node} in ${status.failureDomain}: version ${status.version}, ${status.isReady ? 'ready' : 'not ready'}${status.isDraining ? ', draining' : ''}, ${relay}`,
		formatTable(['failure domain', 'nodes', 'lowest', 'highest'], rows),
		missing.length === 0 ? `version ${newest} is active on all nodes` : `version ${newest} is not active on all nodes:\n  ${missing.join('\n  ')}`,
	].join('\n');
}

/** Prints the active versions in the fleet, and the failure domains in which the newest version is not active on all nodes. */
export async function runStatus(options: CommonOptions): Promise<void> {
	const client = await createOperatorClient(options);
	const [status, fleet] = await Promise.all([client.get<NodeStatusResponse>('/v1/status'), client.get<FleetResponse>('/v1/fleet')]);
	printResult(options, {status, fleet}, () => formatFleet(fleet, status));
}

function describeServer({server, isEjected, nodeStatus}: ServerStatus): string {
	if (server.isDraining) {
		return 'draining';
	}

	if (isEjected) {
		return 'ejected';
	}

	return nodeStatus === 'alive' ? 'in use' : `node ${nodeStatus}`;
}

/** Prints the announced backend servers. */
export async function runServers(options: CommonOptions): Promise<void> {
	const client = await createOperatorClient(options);
	const servers = await client.get<readonly ServerStatus[]>('/v1/servers');
	printResult(options, servers, () => formatTable(
		['service', 'server', 'node', 'failure domain', 'slots', 'state'],
		servers.map(entry => [entry.server.service, entry.server.id, entry.node, entry.failureDomain, String(entry.server.slots), describeServer(entry)]),
	));
}

/** Drains the backend servers beside a node, or one of them. */
export async function runDrain(options: CommonOptions & {readonly server: string | undefined}): Promise<void> {
	const client = await createOperatorClient(options);
	const reply = await client.post('/v1/drain', options.server === undefined ? {} : {server: options.server});
	const body = reply.body as {readonly draining?: readonly string[]; readonly problems?: readonly string[]};
	if (reply.status !== 200) {
		throw new CommandError((body.problems ?? ['the node refused to drain']).join('\n'), exitCodes.refused);
	}

	printResult(options, body, () => `draining: ${(body.draining ?? []).join(', ')}`);
}

/** Writes the fleet's configuration to a store that was restored from an older backup. */
export async function runRepublish(options: CommonOptions): Promise<void> {
	const client = await createOperatorClient(options);
	const reply = await client.post('/v1/republish', {});
	const body = reply.body as {readonly version?: number; readonly reason?: string};
	if (reply.status !== 200) {
		throw new CommandError(body.reason ?? 'the node refused to republish', exitCodes.refused);
	}

	printResult(options, body, () => `the store holds version ${body.version ?? 0} again`);
}

export type CallOptions = CommonOptions & {
	readonly url: string;
	readonly method: string;
	readonly host: string | undefined;
	readonly header: readonly string[];
	readonly explain: boolean;
};

function parseHeaders(lines: readonly string[]): Readonly<Record<string, string>> {
	return Object.fromEntries(lines.map(line => {
		const [name = '', ...rest] = line.split(':');
		if (rest.length === 0) {
			throw new CommandError(`--header "${line}": must be "name: value"`, exitCodes.usage);
		}

		return [name.trim().toLowerCase(), rest.join(':').trim()];
	}));
}

async function explainCall(options: CallOptions, headers: Readonly<Record<string, string>>): Promise<string> {
	const client = await createOperatorClient(options);
	const url = new URL(options.url);
	const reply = await client.post('/v1/explain', {
		method: options.method, host: options.host ?? url.host, path: url.pathname, headers,
	});
	const explanation = reply.body as ExplainResponse;
	return [
		`version   ${explanation.version}`,
		`route     ${explanation.route}`,
		`pool      ${explanation.pool}`,
		`policy    ${explanation.policy}`,
		`decision  ${JSON.stringify(explanation.decision)}`,
		`servers   ${explanation.servers.join(', ')}`,
		...explanation.problem === '' ? [] : [`problem   ${explanation.problem}`],
	].join('\n');
}

/** Sends one request to a node's callers' port and prints the verdict. */
export async function runCall(options: CallOptions): Promise<void> {
	const headers = parseHeaders(options.header);
	if (options.explain) {
		process.stdout.write(`${await explainCall(options, headers)}\n`);
	}

	let reply;
	try {
		reply = await sendRequest(options.url, {method: options.method as 'GET', headers: {...headers, ...options.host === undefined ? {} : {host: options.host}}});
	} catch (error) {
		throw new CommandError(`${options.url} does not answer: ${(error as Error).message}`, exitCodes.unavailable);
	}

	const body = await reply.body.text();
	const {'stonemoor-verdict': verdict = '', 'stonemoor-call': call = ''} = reply.headers;
	printResult(options, {
		status: reply.statusCode, verdict, call, body,
	}, () => `${reply.statusCode}  verdict ${String(verdict)}  call ${String(call)}\n${body}`);
	process.exitCode = reply.statusCode < 500 ? exitCodes.done : exitCodes.refused;
}
