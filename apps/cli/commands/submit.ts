/**
 * `check`, `diff`, `submit` and `submission`: validate and submit configuration documents.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	findConvergenceProblems, findMissingReferences, formatItemKey, formatProblem,
	type ConfigurationResponse, type FleetResponse, type ItemChange, type SubmissionOutcome,
} from '../../../src/index.js';
import {findChanges, formatChanges, readDocument} from '../document-changes.js';
import {CommandError, exitCodes} from '../exit-codes.js';
import {
	createOperatorClient, printResult, readText, type CommonOptions, type OperatorClient,
} from '../operator-client.js';

export type SubmitOptions = CommonOptions & {
	readonly file: string;
	readonly id: string | undefined;
	readonly base: number | undefined;
	readonly replace: boolean;
	readonly dryRun: boolean;
	readonly wait: boolean;
	readonly timeout: number;
};

const convergencePollMs = 200;

export type CheckOptions = Pick<CommonOptions, 'json'> & {
	readonly file: string;
	/** Whether references to items outside of the file are errors. */
	readonly whole: boolean;
};

/** Validates a document offline. */
export async function runCheck(options: CheckOptions): Promise<void> {
	const {file} = options;
	const items = await readDocument(file);
	const missing = findMissingReferences(await readText(file), items).map(problem => formatProblem(problem, file));
	if (missing.length > 0 && options.whole) {
		throw new CommandError(missing.join('\n'), exitCodes.refused);
	}

	for (const line of missing) {
		process.stderr.write(`warning: ${line}\n`);
	}

	printResult(options, {items: items.length, warnings: missing.length}, () => `${file}: ${items.length} items, ${missing.length === 0 ? 'no problems' : `${missing.length} warnings`}`);
}

/** Prints the changes that a document would make. */
export async function runDiff(options: CommonOptions & {readonly file: string; readonly replace: boolean}): Promise<void> {
	const items = await readDocument(options.file);
	const client = await createOperatorClient(options);
	const configuration = await client.get<ConfigurationResponse>('/v1/configuration');
	const changes = findChanges(configuration, items, options.replace);
	printResult(options, changes, () => changes.length === 0 ? `no change to version ${configuration.version}` : formatChanges(configuration, changes));
}

function listBaseRevisions(configuration: ConfigurationResponse, changes: readonly ItemChange[]): Readonly<Record<string, number>> {
	const revisions = new Map(configuration.items.map(({item, revision}) => [formatItemKey(item), revision]));
	return Object.fromEntries(changes.map(change => {
		const key = change.type === 'put' ? formatItemKey(change.item) : change.key;
		return [key, revisions.get(key) ?? 0];
	}));
}

function formatOutcome(outcome: SubmissionOutcome, id: string): string {
	switch (outcome.type) {
		case 'accepted': {
			return `accepted as version ${outcome.version}${outcome.isRepeated ? ' (by an earlier submission of this id)' : ''}, submission ${id}`;
		}

		case 'unchanged': {
			return `no changes: version ${outcome.version} already contains all items`;
		}

		case 'invalid': {
			return `refused:\n${outcome.problems.map(problem => `  ${formatProblem(problem)}`).join('\n')}`;
		}

		case 'conflict': {
			const lines = outcome.items.map(({key, base, current}) => `  ${key}: based on revision ${base}, the current revision is ${current}`);
			return `conflict, nothing was changed; check the changes with "stonemoor diff" and submit again:\n${lines.join('\n')}`;
		}

		case 'expired': {
			return `refused: the submission is based on a version before ${outcome.oldestVersion}, too old to tell whether it was applied; check with "stonemoor diff", then submit with a new id`;
		}

		case 'unavailable': {
			return `not accepted, nothing was changed: ${outcome.reason}; retry in ${Math.ceil(outcome.retryAfterMs / 1000)} s`;
		}

		case 'unknown': {
			return `unknown: the write may have taken effect; submit again with --id ${id}, which is idempotent, or check with "stonemoor submission ${id}"`;
		}
	}
}

const outcomeExitCodes: Readonly<Record<SubmissionOutcome['type'], number>> = {
	accepted: exitCodes.done,
	unchanged: exitCodes.done,
	invalid: exitCodes.refused,
	conflict: exitCodes.refused,
	expired: exitCodes.refused,
	unavailable: exitCodes.unavailable,
	unknown: exitCodes.unknown,
};

async function waitForConvergence(client: OperatorClient, version: number, timeoutMs: number): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	let shown = '';
	while (true) {
		const fleet = await client.get<FleetResponse>('/v1/fleet');
		const missing = findConvergenceProblems(fleet, version);
		if (missing.length === 0) {
			const nodes = fleet.domains.reduce((total, domain) => total + domain.expected, 0);
			process.stderr.write(`version ${version} is active on all ${nodes} nodes\n`);
			return;
		}

		const text = missing.join('\n');
		if (text !== shown) {
			process.stderr.write(`waiting: ${text.replaceAll('\n', '\n         ')}\n`);
			shown = text;
		}

		if (Date.now() >= deadline) {
			throw new CommandError(`timeout: version ${version} was accepted but is not active on all nodes yet:\n${text}`, exitCodes.notConverged);
		}

		await sleep(convergencePollMs);
	}
}

/** Submits a document. */
export async function runSubmit(options: SubmitOptions): Promise<void> {
	const items = await readDocument(options.file);
	const client = await createOperatorClient(options);
	const configuration = await client.get<ConfigurationResponse>('/v1/configuration');
	if (options.base !== undefined && options.base !== configuration.version) {
		throw new CommandError(`conflict: the active version is ${configuration.version}, not ${options.base}; check with "stonemoor diff" and submit again`, exitCodes.refused);
	}

	const changes = findChanges(configuration, items, options.replace);
	const id = options.id ?? randomUUID();
	if (changes.length === 0 && options.id === undefined) {
		printResult(options, {type: 'unchanged', version: configuration.version}, () => `no changes: version ${configuration.version} already contains all items`);
		return;
	}

	// A submission with a repeated id must be sent to the mesh even if the document is already applied.
	const sent = changes.length === 0 ? items.map((item): ItemChange => ({type: 'put', item})) : changes;
	const submission = {
		id, seenVersion: configuration.version, changes: sent, bases: listBaseRevisions(configuration, sent),
	};
	const reply = await client.post(`/v1/submissions${options.dryRun ? '?dry-run=true' : ''}`, submission);
	const outcome = reply.body as SubmissionOutcome;
	printResult(options, {...outcome, submission: id}, () => `${options.dryRun ? 'dry run: ' : ''}${formatOutcome(outcome, id)}`);
	process.exitCode = outcomeExitCodes[outcome.type];
	if (options.wait && !options.dryRun && (outcome.type === 'accepted' || outcome.type === 'unchanged')) {
		await waitForConvergence(client, outcome.version, options.timeout * 1000);
	}
}

/** Prints whether a submission was accepted. */
export async function runSubmission(options: CommonOptions & {readonly id: string}): Promise<void> {
	const client = await createOperatorClient(options);
	const found = await client.get<{type: string; version: number}>(`/v1/submissions/${encodeURIComponent(options.id)}`);
	printResult(options, found, () => found.type === 'accepted'
		? `submission ${options.id} was accepted as version ${found.version}`
		: `submission ${options.id} has not been applied; submitting it again with the same id is idempotent`);
	process.exitCode = found.type === 'accepted' ? exitCodes.done : exitCodes.refused;
}
