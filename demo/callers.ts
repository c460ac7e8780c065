/**
 * The demo's callers. They count what they were told and check every answer.
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
	readonly whole: number;
	readonly wrong: number;
	readonly notRun: number;
	readonly mayHaveRun: number;
	/** The caller's own connection failed, as when the node it used was killed. */
	readonly lost: number;
};

export type Callers = {
	readonly getCounts: () => CallerCounts;
	/** A node that callers stop using, as a caller's own health check would see to. Waits until none of their calls is under way there. */
	readonly avoid: (node: string) => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** What a publication was told. */
export type Publication = {readonly key: string; readonly verdict: string; readonly status: number};

const pollPauseMs = 4;

/** No call of a caller takes longer. Milliseconds. */
const maximumCallMs = 5000;

const chunkBytes = 65_536;

/** Polls pages until stopped, from several callers at once. */
export function startPolling(nodes: readonly MeshNode[], callers: number): Callers {
	const agent = new Agent({connections: 4, pipelining: 1});
	const avoided = new Set<string>();
	const inFlight = new Map<string, number>();
	let counts: CallerCounts = {
		calls: 0, whole: 0, wrong: 0, notRun: 0, mayHaveRun: 0, lost: 0,
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
				add(body === createPage(path) ? 'whole' : 'wrong');
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

/** Publishes once: a request that may not be repeated, with an idempotency key. */
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

/** Uploads a bundle; yields the digest that the caller computed and the status. */
export async function uploadBundle(node: MeshNode, name: string, bytes: number): Promise<{readonly digest: string; readonly status: number}> {
	const {stream, getDigest} = createBundle(bytes);
	const reply = await sendRequest(`http://${node.callers}/bundles/${name}`, {method: 'PUT', body: stream, headers: {'content-length': String(bytes)}});
	await reply.body.dump();
	return {digest: getDigest(), status: reply.statusCode};
}

/** Fetches a bundle and computes its digest. */
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
