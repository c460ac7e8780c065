/**
 * HTTP client for the operators' port of a node.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {request as sendRequest} from 'undici';
import {parseSettings, formatSettingsProblem} from '../../src/index.js';
import {CommandError, exitCodes} from './exit-codes.js';

/** Options of all commands. */
export type CommonOptions = {
	readonly node: string | undefined;
	readonly settings: string | undefined;
	readonly json: boolean;
};

export type OperatorResponse = {readonly status: number; readonly body: unknown};

export type OperatorClient = {
	readonly address: string;
	readonly get: <T>(path: string) => Promise<T>;
	readonly post: (path: string, body: unknown) => Promise<OperatorResponse>;
};

const responseTimeoutMs = 30_000;

async function findAddress({node, settings}: Pick<CommonOptions, 'node' | 'settings'>): Promise<string> {
	if (node !== undefined) {
		return node;
	}

	if (settings === undefined) {
		throw new CommandError('no node given: use --node IP:PORT (its operators\' port) or --settings FILE', exitCodes.usage);
	}

	return parseSettings(await readText(settings)).match(
		parsed => parsed.listen.operators,
		problems => {
			throw new CommandError(problems.map(problem => formatSettingsProblem(problem, settings)).join('\n'), exitCodes.refused);
		},
	);
}

/** Reads a file. Throws a CommandError with the reason if it cannot be read. */
export async function readText(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new CommandError(`${file}: cannot be read: ${(error as Error).message}`, exitCodes.refused);
	}
}

/** Creates a client for the node given by the options. */
export async function createOperatorClient(options: Pick<CommonOptions, 'node' | 'settings'>): Promise<OperatorClient> {
	const address = await findAddress(options);

	const send = async (method: 'GET' | 'POST', path: string, body?: unknown): Promise<OperatorResponse> => {
		try {
			const reply = await sendRequest(`http://${address}${path}`, {
				method,
				headersTimeout: responseTimeoutMs,
				...body === undefined ? {} : {body: JSON.stringify(body), headers: {'content-type': 'application/json'}},
			});
			return {status: reply.statusCode, body: await reply.body.json()};
		} catch (error) {
			const isSubmission = method === 'POST' && path.startsWith('/v1/submissions') && (error as {code?: string}).code !== 'ECONNREFUSED';
			throw new CommandError(`node ${address} does not answer: ${(error as Error).message}`, isSubmission ? exitCodes.unknown : exitCodes.unavailable);
		}
	};

	return {
		address,
		async get<T>(path: string) {
			const reply = await send('GET', path);
			if (reply.status !== 200) {
				throw new CommandError(`node ${address} answered ${reply.status}: ${JSON.stringify(reply.body)}`, reply.status === 503 ? exitCodes.unavailable : exitCodes.refused);
			}

			return reply.body as T;
		},
		post: async (path, body) => send('POST', path, body),
	};
}

/** Prints a value as one line of JSON, or with the given formatter. */
export function printResult<T>(options: Pick<CommonOptions, 'json'>, value: T, format: (value: T) => string): void {
	process.stdout.write(`${options.json ? JSON.stringify(value) : format(value)}\n`);
}
