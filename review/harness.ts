/**
 * Starts sidecar nodes as processes of their own, with the command of the deploy file,
 * and the stand-ins around them: the platform's store, backend servers with their
 * heartbeats, and the platform's readiness check.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {
	closeSync, existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createSocket} from 'node:dgram';
import {createServer, request as openRequest, type IncomingHttpHeaders} from 'node:http';
import {createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startPlatformStore, type PlatformStore} from '../stand-ins/platform-store/platform-store.js';
import {renderSettings} from '../stand-ins/settings-template.js';

/** The repository's root, as `build.sh` puts the built programs into target/review. */
const root = fileURLToPath(new URL('../..', import.meta.url));
const program = path.join(root, 'target/sidecar.cjs');

/** The case could not run; says nothing about the rule. */
export class CannotRunError extends Error {}

/** Milliseconds since the script started, on the steady clock. */
export const readMs = (): number => Math.round(performance.now());

export async function waitFor(what: string, condition: () => Promise<boolean>, timeoutMs = 15_000): Promise<void> {
	const endsAt = performance.now() + timeoutMs;
	while (performance.now() < endsAt) {
		if (await condition()) {
			return;
		}

		await sleep(20);
	}

	throw new CannotRunError(`not met within ${timeoutMs} ms: ${what}`);
}

type RequestOptions = {
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly timeoutMs?: number;
};

type Response = {
	/** 0 if there is no complete response. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
};

/** Sends one request on a connection of its own. Resolves with status 0 if there is no complete response. */
export async function sendRequest(address: string, target: string, options: RequestOptions = {}): Promise<Response> {
	const {method = 'GET', headers = {}, body, timeoutMs = 1000} = options;
	const [hostname, port] = address.split(':');
	return new Promise(resolve => {
		const outgoing = openRequest({
			hostname, port, method, path: target, agent: false, headers: {...headers, ...body === undefined ? {} : {'content-length': Buffer.byteLength(body)}},
		}, incoming => {
			const chunks: Uint8Array[] = [];
			incoming.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			incoming.once('error', () => undefined);
			incoming.once('close', () => {
				resolve({status: incoming.complete ? incoming.statusCode ?? 0 : 0, headers: incoming.headers, body: Buffer.concat(chunks).toString()});
			});
		});
		outgoing.setTimeout(timeoutMs, () => {
			outgoing.destroy();
		});
		outgoing.once('error', () => {
			resolve({status: 0, headers: {}, body: ''});
		});
		outgoing.end(body);
	});
}

/** An event of the record. */
type RecordEvent = Readonly<Record<string, unknown>> & {readonly event: string};

/** The work of a server on one request. */
export type Run = {
	readonly id: string;
	readonly server: string;
	readonly at: number;
	/** `undefined` while the server is at work. */
	endedAt: number | undefined;
	/** True if the connection ended while the server was at work. */
	isCut: boolean;
};

type ServerOptions = {
	readonly id: string;
	/** Returns the milliseconds of work for a request target. */
	readonly workMs: (target: string) => number;
	readonly slots: number;
	readonly record: (event: RecordEvent) => void;
};

type Server = {
	readonly id: string;
	readonly runs: readonly Run[];
	/** From now on, status checks fail, and each response closes its connection. */
	readonly startLeaving: () => void;
	readonly close: () => void;
};

/** Returns a header that the platform's nodes send once. */
const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => headers[name]?.toString();

/**
 * Creates a backend server as the platform's pages describe it. It runs a request for the time
 * that `workMs` returns, echoes its id, tells its load, and rejects a request for another instance
 * with 421.
 */
async function startServer(host: string, port: number, {id, workMs, slots, record}: ServerOptions): Promise<Server> {
	const runs: Run[] = [];
	let isLeaving = false;
	const getClosingHeaders = (): Readonly<Record<string, string>> => isLeaving ? {connection: 'close'} : {};
	const describeLoad = (): string => `${runs.filter(({endedAt}) => endedAt === undefined).length},0,${slots}`;
	const server = createServer((request, response) => {
		const attempt = readHeader(request.headers, 'stonemoor-attempt-id') ?? '';
		const expected = readHeader(request.headers, 'stonemoor-expected-instance');
		const target = request.url ?? '';
		request.resume();
		if (target === '/healthz') {
			response.writeHead(isLeaving ? 503 : 200, {'stonemoor-instance-id': id, 'content-length': 0, ...getClosingHeaders()});
			response.end();
			return;
		}

		if (expected !== undefined && expected !== id) {
			record({
				event: 'server-rejects', server: id, id: attempt, status: 421,
			});
			response.writeHead(421, {'content-length': 0, 'stonemoor-attempt-id': attempt, ...getClosingHeaders()});
			response.end();
			return;
		}

		const run: Run = {
			id: attempt, server: id, at: readMs(), endedAt: undefined, isCut: false,
		};
		runs.push(run);
		record({
			event: 'server-runs', server: id, id: attempt, target,
		});
		const timer = setTimeout(() => {
			run.endedAt = readMs();
			record({event: 'server-answers', server: id, id: attempt});
			const body = `page of ${target} for ${attempt}`;
			response.writeHead(200, {
				'content-length': Buffer.byteLength(body), 'stonemoor-attempt-id': attempt, 'stonemoor-response-signature': `sig.${attempt}.${body.length}`, 'stonemoor-server-load': describeLoad(),
				...getClosingHeaders(),
			});
			response.end(body);
		}, workMs(target));
		response.once('close', () => {
			if (run.endedAt === undefined) {
				clearTimeout(timer);
				run.isCut = true;
				run.endedAt = readMs();
				record({event: 'server-request-cut', server: id, id: attempt});
			}
		});
	});
	server.keepAliveTimeout = 10_000;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			resolve();
		});
	});
	return {
		id,
		runs,
		startLeaving() {
			isLeaving = true;
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** The TCP ports of a node and of the server beside it. */
const usedPorts = [7001, 7002, 7006, 7007, 7011, 9464];

async function isPortFree(host: string, port: number): Promise<boolean> {
	const probe = createNetServer();
	const isFree = await new Promise<boolean>(resolve => {
		probe.once('error', () => {
			resolve(false);
		});
		probe.listen(port, host, () => {
			resolve(true);
		});
	});
	if (isFree) {
		await new Promise<void>(resolve => {
			probe.close(() => {
				resolve();
			});
		});
	}

	return isFree;
}

/** The UDP port of a node, for heartbeats. */
const heartbeatPort = 7004;

async function isHeartbeatPortFree(host: string): Promise<boolean> {
	const probe = createSocket('udp4');
	return new Promise(resolve => {
		probe.once('error', () => {
			probe.close();
			resolve(false);
		});
		probe.bind(heartbeatPort, host, () => {
			probe.close(() => {
				resolve(true);
			});
		});
	});
}

/** Picks a loopback address on which the ports of a node are free. */
async function findFreeHost(): Promise<string> {
	for (let tries = 0; tries < 50; tries++) {
		const host = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
		const areFree = await Promise.all([isHeartbeatPortFree(host), ...usedPorts.map(async port => isPortFree(host, port))]);
		if (areFree.every(Boolean)) {
			return host;
		}
	}

	throw new CannotRunError('no free loopback address was found');
}

/** Reads the command of the deploy file; the platform puts the settings file at another place, so that its path is replaced. */
function readCommand(settingsFile: string): readonly string[] {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const run = /^run = "(.*)"$/m.exec(text)?.[1];
	if (run === undefined) {
		throw new CannotRunError('deploy/system.toml has no line `run`');
	}

	const [, ...words] = run.split(' ');
	return words.map(word => word === '/etc/stonemoor/settings.toml' ? settingsFile : word);
}

/** A node, in a process of its own that can be started again. */
export type Node = {
	readonly name: string;
	readonly zone: string;
	readonly service: string;
	readonly host: string;
	readonly settingsFile: string;
	readonly outbound: string;
	readonly control: string;
	readonly readiness: string;
	child: ChildProcess | undefined;
};

/** A server beside a node, with what it tells the node. */
export type MeshServer = Server & {
	readonly createHeartbeat: () => string;
	readonly sendHeartbeat: (body: string) => Promise<Response>;
	readonly sendLeave: () => Promise<Response>;
	readonly stopHeartbeats: () => void;
};

export type Mesh = {
	readonly store: PlatformStore;
	readonly record: (event: RecordEvent) => void;
	readonly isReady: (node: Node) => Promise<boolean>;
	/** Returns false once the case has ended; loops of a case end then. */
	readonly isOpen: () => boolean;
	/** Starts a node with its settings rendered from `deploy/settings.yaml`. */
	readonly startNode: (place: {readonly name: string; readonly zone: string; readonly service: string}) => Promise<Node>;
	/** Starts the process of a node again, after it has ended. */
	readonly startProcess: (node: Node) => void;
	/** Sends a signal to the process of a node. */
	readonly signal: (node: Node, signal: NodeJS.Signals) => void;
	/** Starts a server beside a node, which sends heartbeats until it is stopped. */
	readonly startServer: (node: Node, options: {readonly id: string; readonly workMs: (target: string) => number}) => Promise<MeshServer>;
	/** Ends all processes, writes the record and removes the temporary folder. */
	readonly close: () => Promise<void>;
};

/** The port of the server beside a node. */
const serverPort = 7011;

/** The slots of a server. */
const slots = 12;

/**
 * Starts a store, and returns functions that start nodes and servers beside them. `close` ends all
 * processes that were started.
 */
async function createMesh(folder: string): Promise<Mesh> {
	if (!existsSync(program)) {
		throw new CannotRunError(`${program} is missing; run the build of deploy/system.toml first`);
	}

	const store = await startPlatformStore();
	const work = mkdtempSync(path.join(tmpdir(), 'stonemoor-review-'));
	const lines: string[] = [];
	const cleanups: Array<() => void> = [];
	const children = new Set<ChildProcess>();
	let isOpen = true;
	const finish = (): void => {
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		if (process.env.KEEP_LOGS === '1') {
			process.stdout.write(`logs of the nodes: ${work}\n`);
		} else {
			rmSync(work, {recursive: true, force: true});
		}
	};

	// Ends the processes also if the script fails or is stopped.
	process.once('exit', () => {
		for (const child of children) {
			child.kill('SIGKILL');
		}

		if (isOpen) {
			finish();
		}
	});
	const startedAt = readMs();
	const record = (event: RecordEvent): void => {
		lines.push(JSON.stringify({at: readMs() - startedAt, ...event}));
	};

	const startProcess = (node: Node): void => {
		const logFile = path.join(work, `${node.name}.log`);
		const log = openSync(logFile, 'a');
		const environment = Object.fromEntries(['PATH', 'HOME'].map(name => [name, process.env[name]]));
		const child = spawn(process.execPath, readCommand(node.settingsFile), {cwd: root, stdio: ['ignore', log, log], env: environment});
		closeSync(log);
		children.add(child);
		child.once('exit', (code, signal) => {
			children.delete(child);
			node.child = undefined;
			record({
				event: 'process-ended', node: node.name, code, signal,
			});
		});
		node.child = child;
		record({event: 'process-started', node: node.name, pid: child.pid});
	};

	const isReady = async (node: Node): Promise<boolean> => {
		const {status} = await sendRequest(node.readiness, '/v1/ready');
		return status === 200;
	};

	return {
		store,
		record,
		isReady,
		isOpen: () => isOpen,
		async startNode({name, zone, service}) {
			const host = await findFreeHost();
			const settingsFile = path.join(work, `${name}.settings`);
			writeFileSync(settingsFile, renderSettings({
				name, failureDomain: zone, service, host, storeAddress: store.address, graceMs: 6000, retrySlack: 62,
			}));
			const node: Node = {
				name, zone, service, host, settingsFile, child: undefined,
				outbound: `${host}:7001`, control: `${host}:7006`, readiness: `${host}:7007`,
			};
			startProcess(node);
			await waitFor(`node ${name} is ready`, async () => isReady(node));
			return node;
		},
		signal(node, signal) {
			record({event: 'signal', node: node.name, signal});
			node.child?.kill(signal);
		},
		startProcess,
		async startServer(node, {id, workMs}) {
			const server = await startServer(node.host, serverPort, {
				id, workMs, slots, record,
			});
			let sequence = 0;
			const createHeartbeat = (): string => {
				sequence++;
				return JSON.stringify({
					address: `${node.host}:${serverPort}`,
					info: {
						service: node.service, version: 'v1', zone: node.zone, slots,
					},
					status: {state: 'ready', sequence, 'cold-remaining': '0ms'},
				});
			};

			const sendHeartbeat = async (body: string): Promise<Response> => sendRequest(node.control, `/v1/rpc?call=instances.heartbeat&of=${id}`, {
				method: 'POST', headers: {'content-type': 'application/json'}, body,
			});
			const sendLeave = async (): Promise<Response> => {
				server.startLeaving();
				return sendRequest(node.control, `/v1/rpc?call=instances.leave&of=${id}`, {method: 'POST', body: ''});
			};

			const {status} = await sendHeartbeat(createHeartbeat());
			if (status !== 200) {
				throw new CannotRunError(`node ${node.name} refused the heartbeat of ${id} with status ${status}`);
			}

			const timer = setInterval(() => {
				void sendHeartbeat(createHeartbeat());
			}, 1500);
			const stopHeartbeats = (): void => {
				clearInterval(timer);
			};

			cleanups.push(() => {
				stopHeartbeats();
				server.close();
			});
			return {
				...server, createHeartbeat, sendHeartbeat, sendLeave, stopHeartbeats,
			};
		},
		async close() {
			for (const cleanup of cleanups) {
				cleanup();
			}

			const ended = [...children].map(async child => new Promise(resolve => {
				child.once('exit', resolve);
				child.kill('SIGKILL');
			}));
			await Promise.all(ended);
			await store.close();
			isOpen = false;
			finish();
		},
	};
}

/** Broken rules that are printed; the record has all. */
const maxPrintedCount = 5;

/** Longest run of a case. */
const limitMs = 100_000;

async function failAfterLimit(signal: AbortSignal): Promise<never> {
	await sleep(limitMs, undefined, {signal, ref: false});
	throw new CannotRunError(`the case took longer than ${limitMs} ms`);
}

/** Exit codes of the program of a case. 1 is left to Node.js, which ends with it after an uncaught error. */
const exitCodes = {held: 0, cannotRun: 2, broken: 10};

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
	process.once(signal, () => {
		process.exit(exitCodes.cannotRun);
	});
}

/**
 * Runs a case. The first argument of the program is the folder of the case, which gets the record.
 *
 * @param play - Plays the case; returns how the rule was broken.
 * @returns The exit code, which `run-case.sh` turns into that of the script.
 */
export async function runCase(play: (mesh: Mesh) => Promise<readonly string[]>): Promise<number> {
	const ended = new AbortController();
	let mesh: Mesh | undefined;
	try {
		const folder = process.argv.at(2);
		if (folder === undefined || !existsSync(path.join(folder, 'claim.txt'))) {
			throw new CannotRunError('the first argument must be the folder of a case, which holds claim.txt');
		}

		mesh = await createMesh(folder);
		const broken = await Promise.race([play(mesh), failAfterLimit(ended.signal)]);
		for (const [index, text] of broken.entries()) {
			mesh.record({event: 'rule-broken', text});
			if (index < maxPrintedCount) {
				process.stdout.write(`broken: ${text}\n`);
			}
		}

		process.stdout.write(broken.length === 0 ? 'the rule held\n' : `the rule was broken ${broken.length} times\n`);
		return broken.length === 0 ? exitCodes.held : exitCodes.broken;
	} catch (error) {
		const reason = error instanceof CannotRunError ? error.message : String(error instanceof Error ? error.stack : error);
		process.stderr.write(`cannot run: ${reason}\n`);
		mesh?.record({event: 'cannot-run', reason});
		return exitCodes.cannotRun;
	} finally {
		ended.abort();
		await mesh?.close();
	}
}

type Route = {
	readonly prefix: string;
	readonly service: string;
	readonly type?: 'safe' | 'unsafe';
	readonly timeout?: string;
	readonly latency?: string;
};

/** Creates a configuration in the platform's format, with one service per route. */
export function createConfig(routes: readonly Route[]): unknown {
	return {
		version: '00000001',
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000, 'header-timeout': '3s', 'idle-timeout': '15000ms',
		},
		listeners: [{
			host: 'mesh.example',
			rules: routes.map(({prefix, service, type = 'safe', timeout = '1200ms', latency = '400ms'}) => ({
				name: `r-${prefix}`, 'route-type': type, 'target-latency': latency, priority: 1, match: {prefix}, action: {service, timeout, 'max-attempts': 2},
			})),
		}],
		clusters: [...new Set(routes.map(({service}) => service))].map(name => ({
			name, 'health-check-path': '/healthz', 'max-connections': 130, protocol: 'h1', tls: false,
		})),
	};
}
