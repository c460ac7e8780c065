/**
 * The demo's callers. They check every response and count the outcomes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {PassThrough, type Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request as sendRequest} from 'undici';
import {createPage} from '../stand-ins/backend-server/page.js';
import {waitUntil} from '../stand-ins/wait-until.js';
import {type MeshNode} from './mesh.js';

export type CallerCounts = {
	readonly calls: number;
	/** Responses with status 200 that are complete and belong to their request. */
	readonly complete: number;
	/** Responses with status 200 and any other body. */
	readonly wrong: number;
	/** Responses with another status and the verdict `not-run`. */
	readonly notRun: number;
	/** All other responses. */
	readonly mayHaveRun: number;
	/** Calls whose connection to the node failed, for example because the node was killed. */
	readonly lost: number;
};

export type Callers = {
	readonly getCounts: () => CallerCounts;
	/** Stops sending calls to a node, as callers with health checks do, and waits until no call to it is in flight. */
	readonly avoid: (node: string) => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** The outcome of a publication, as its caller saw it. */
export type Publication = {readonly key: string; readonly verdict: string; readonly status: number};

const pollPauseMs = 4;

/** No call takes longer than this, so that calls in flight end within this time. */
const maximumCallMs = 5000;

const chunkBytes = 65_536;

/** Starts callers that fetch pages until they are stopped; each fetches one page at a time, from one node after another. */
export function startPolling(nodes: readonly MeshNode[], callers: number): Callers {
	const agent = new Agent({connections: 4, pipelining: 1});
	const avoided = new Set<string>();
	const inFlight = new Map<string, number>();
	let counts: CallerCounts = {
		calls: 0, complete: 0, wrong: 0, notRun: 0, mayHaveRun: 0, lost: 0,
	};
	let isStopping = false;

	const add = (name: keyof CallerCounts): void => {
		counts = {...counts, [name]: counts[name] + 1};
	};

	const poll = async (node: MeshNode): Promise<void> => {
		const path = `/logs/${randomUUID()}?page=${counts.calls}`;
		add('calls');
		inFlight.set(node.id, (inFlight.get(node.id) ?? 0) + 1);
		try {
			const reply = await sendRequest(`http://${node.callers}${path}`, {dispatcher: agent});
			const body = await reply.body.text();
			if (reply.statusCode === 200) {
				add(body === createPage(path) ? 'complete' : 'wrong');
			} else {
				add(reply.headers['stonemoor-verdict'] === 'not-run' ? 'notRun' : 'mayHaveRun');
			}
		} catch {
			add('lost');
		} finally {
			inFlight.set(node.id, (inFlight.get(node.id) ?? 0) - 1);
		}
	};

	const run = async (index: number): Promise<void> => {
		for (let turn = index; !isStopping; turn++) {
			const usable = nodes.filter(node => !avoided.has(node.id));
			const node = usable[turn % usable.length];
			if (node !== undefined) {
				await poll(node);
			}

			await sleep(pollPauseMs);
		}
	};

	const running = Array.from({length: callers}, async (_, index) => run(index));
	return {
		getCounts: () => counts,
		async avoid(node) {
			avoided.add(node);
			await waitUntil(() => (inFlight.get(node) ?? 0) === 0, maximumCallMs);
		},
		async stop() {
			isStopping = true;
			await Promise.all(running);
			await agent.destroy();
		},
	};
}

/** Publishes a release with a request that is not retryable and has an idempotency key. */
export async function publish(node: MeshNode, key: string): Promise<Publication> {
	try {
		const reply = await sendRequest(`http://${node.callers}/releases/${key}`, {
			method: 'POST', headers: {'idempotency-key': key, 'content-type': 'text/plain'}, body: `release ${key}`,
		});
		await reply.body.dump();
		return {key, verdict: String(reply.headers['stonemoor-verdict']), status: reply.statusCode};
	} catch {
		return {key, verdict: 'may-have-run', status: 0};
	}
}

function createBundle(bytes: number): {readonly stream: Readable; readonly getDigest: () => string} {
	const stream = new PassThrough();
	const hash = createHash('sha256');
	const write = async (): Promise<void> => {
		for (let sent = 0; sent < bytes; sent += chunkBytes) {
			const chunk = Buffer.alloc(Math.min(chunkBytes, bytes - sent), createHash('sha256').update(String(sent)).digest());
			hash.update(chunk);
			if (!stream.write(chunk)) {
				await new Promise(resolve => {
					stream.once('drain', resolve);
				});
			}
		}

		stream.end();
	};

	void write();
	return {stream, getDigest: () => hash.digest('hex')};
}

/** Uploads a bundle. Returns the digest of the sent bytes and the status. */
export async function uploadBundle(node: MeshNode, name: string, bytes: number): Promise<{readonly digest: string; readonly status: number}> {
	const {stream, getDigest} = createBundle(bytes);
	const reply = await sendRequest(`http://${node.callers}/bundles/${name}`, {method: 'PUT', body: stream, headers: {'content-length': String(bytes)}});
	await reply.body.dump();
	return {digest: getDigest(), status: reply.statusCode};
}

/** Fetches a bundle and returns the digest of its bytes, or a text with the status if it isn't 200. */
export async function fetchBundle(node: MeshNode, name: string): Promise<string> {
	const hash = createHash('sha256');
	const reply = await sendRequest(`http://${node.callers}/bundles/${name}`);
	if (reply.statusCode !== 200) {
		await reply.body.dump();
		return `status ${reply.statusCode}`;
	}

	for await (const chunk of reply.body) {
		hash.update(chunk as Uint8Array);
	}

	return hash.digest('hex');
}
