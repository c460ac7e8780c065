/**
 * Starts sidecar nodes as processes of their own, with the command of the deploy file,
 * and the stand-ins around them: the platform's store, backend servers with their
 * heartbeats, and the platform's readiness check.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	closeSync, existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createSocket} from 'node:dgram';
import {createServer, request as openRequest} from 'node:http';
import {createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const program = path.join(root, 'target/sidecar.cjs');
const standIns = path.join(root, 'target/review');

/** The case could not run; says nothing about the rule. */
export class CannotRunError extends Error {}

async function importStandIn(name) {
	const file = path.join(standIns, name);
	if (!existsSync(file)) {
		throw new CannotRunError(`${file} is missing; run review/build.sh first`);
	}

	return import(file);
}

/** Milliseconds since the script started, on the steady clock. */
export const readMs = () => Math.round(performance.now());

export async function waitFor(what, condition, timeoutMs = 15_000) {
	const endsAt = performance.now() + timeoutMs;
	while (performance.now() < endsAt) {
		if (await condition()) {
			return;
		}

		await sleep(20);
	}

	throw new CannotRunError(`not met within ${timeoutMs} ms: ${what}`);
}

/** Sends one request on a connection of its own. Resolves with status 0 if there is no complete response. */
export async function sendRequest(address, target, {method = 'GET', headers = {}, body, timeoutMs = 1000} = {}) {
	const [hostname, port] = address.split(':');
	return new Promise(resolve => {
		const outgoing = openRequest({
			hostname, port, method, path: target, agent: false, headers: {...headers, ...body === undefined ? {} : {'content-length': Buffer.byteLength(body)}},
		}, incoming => {
			const chunks = [];
			incoming.on('data', chunk => {
				chunks.push(chunk);
			});
			incoming.once('error', () => undefined);
			incoming.once('close', () => {
				resolve({status: incoming.complete ? incoming.statusCode : 0, headers: incoming.headers, body: Buffer.concat(chunks).toString()});
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

/**
 * Creates a backend server as the platform's pages describe it. It runs a request for the time
 * that `workMs` returns, echoes its id, tells its load, and rejects a request for another instance
 * with 421.
 */
export async function startServer({id, host, port, service, workMs, slots, record}) {
	const runs = [];
	const describeLoad = () => `${runs.filter(({endedAt}) => endedAt === undefined).length},0,${slots}`;
	const server = createServer((request, response) => {
		const attempt = request.headers['stonemoor-attempt-id'];
		const expected = request.headers['stonemoor-expected-instance'];
		request.resume();
		if (request.url === '/healthz') {
			response.writeHead(200, {'stonemoor-instance-id': id, 'content-length': 0});
			response.end();
			return;
		}

		if (expected !== undefined && expected !== id) {
			record({
				event: 'server-rejects', server: id, id: attempt, status: 421,
			});
			response.writeHead(421, {'content-length': 0, 'stonemoor-attempt-id': attempt});
			response.end();
			return;
		}

		const run = {
			id: attempt, server: id, service, at: readMs(), endedAt: undefined, isCut: false,
		};
		runs.push(run);
		record({
			event: 'server-runs', server: id, id: attempt, target: request.url,
		});
		const timer = setTimeout(() => {
			run.endedAt = readMs();
			record({event: 'server-answers', server: id, id: attempt});
			const body = `page of ${request.url} for ${attempt}`;
			response.writeHead(200, {
				'content-length': Buffer.byteLength(body), 'stonemoor-attempt-id': attempt, 'stonemoor-response-signature': `sig.${attempt}.${body.length}`, 'stonemoor-server-load': describeLoad(),
			});
			response.end(body);
		}, workMs(request.url));
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
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		id,
		runs,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** The TCP ports of a node and of the server beside it. */
const usedPorts = [7001, 7002, 7006, 7007, 7011, 9464];

async function isPortFree(host, port) {
	const probe = createNetServer();
	const isFree = await new Promise(resolve => {
		probe.once('error', () => {
			resolve(false);
		});
		probe.listen(port, host, () => {
			resolve(true);
		});
	});
	if (isFree) {
		await new Promise(resolve => {
			probe.close(resolve);
		});
	}

	return isFree;
}

/** The UDP port of a node, for heartbeats. */
const heartbeatPort = 7004;

async function isHeartbeatPortFree(host) {
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
async function findFreeHost() {
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
function readCommand(settingsFile) {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const run = /^run = "(.*)"$/m.exec(text)?.[1];
	if (run === undefined) {
		throw new CannotRunError('deploy/system.toml has no line `run`');
	}

	const [, ...words] = run.split(' ');
	return words.map(word => word === '/etc/stonemoor/settings.toml' ? settingsFile : word);
}

/**
 * Starts a store, and returns functions that start nodes and servers beside them. `close` ends all
 * processes that were started.
 */
export async function createMesh(folder) {
	if (!existsSync(program)) {
		throw new CannotRunError(`${program} is missing; run the build of deploy/system.toml first`);
	}

	const {startPlatformStore} = await importStandIn('platform-store.mjs');
	const {renderSettings} = await importStandIn('settings-template.mjs');
	const store = await startPlatformStore();
	const work = mkdtempSync(path.join(tmpdir(), 'stonemoor-review-'));
	const lines = [];
	const cleanups = [];
	const children = new Set();
	let isOpen = true;
	const finish = () => {
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
	const record = event => {
		lines.push(JSON.stringify({at: readMs() - startedAt, ...event}));
	};

	const startProcess = async node => {
		const logFile = path.join(work, `${node.name}.log`);
		const log = openSync(logFile, 'a');
		const child = spawn(process.execPath, readCommand(node.settingsFile), {cwd: root, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME}});
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

	const isReady = async node => {
		const {status} = await sendRequest(node.readiness, '/v1/ready');
		return status === 200;
	};

	return {
		store,
		record,
		work,
		isReady,
		/** Returns false once the case has ended; loops of a case end then. */
		isOpen: () => isOpen,
		/** Starts a node with its settings rendered from `deploy/settings.yaml`. */
		async startNode({name, zone, service, ...parameters}) {
			const host = await findFreeHost();
			const settingsFile = path.join(work, `${name}.settings`);
			writeFileSync(settingsFile, renderSettings({
				name, failureDomain: zone, service, host, storeAddress: store.address, graceMs: 6000, retrySlack: 62, ...parameters,
			}));
			const node = {
				name, zone, service, host, settingsFile, child: undefined,
				outbound: `${host}:7001`, control: `${host}:7006`, readiness: `${host}:7007`, serverPort: 7011,
			};
			await startProcess(node);
			await waitFor(`node ${name} is ready`, async () => isReady(node));
			return node;
		},
		/** Sends a signal to the process of a node. */
		signal(node, signal) {
			record({event: 'signal', node: node.name, signal});
			node.child?.kill(signal);
		},
		startProcess,
		/** Starts a server beside a node, which sends heartbeats until it is stopped. */
		async startServer(node, {id, workMs, slots = 12}) {
			const server = await startServer({
				id, host: node.host, port: node.serverPort, service: node.service, workMs, slots, record,
			});
			let sequence = 0;
			const createHeartbeat = (state = 'ready') => {
				sequence++;
				return JSON.stringify({
					address: `${node.host}:${node.serverPort}`,
					info: {
						service: node.service, version: 'v1', zone: node.zone, slots,
					},
					status: {state, sequence, 'cold-remaining': '0ms'},
				});
			};

			const sendHeartbeat = async body => sendRequest(node.control, `/v1/rpc?call=instances.heartbeat&of=${id}`, {method: 'POST', headers: {'content-type': 'application/json'}, body});
			const sendLeave = async () => sendRequest(node.control, `/v1/rpc?call=instances.leave&of=${id}`, {method: 'POST', headers: {'content-type': 'application/json'}, body: ''});
			const {status} = await sendHeartbeat(createHeartbeat());
			if (status !== 200) {
				throw new CannotRunError(`node ${node.name} refused the heartbeat of ${id} with status ${status}`);
			}

			const timer = setInterval(() => {
				sendHeartbeat(createHeartbeat());
			}, 1500);
			const stopHeartbeats = () => {
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
		/** Ends all processes, writes the record and removes the temporary folder. */
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

async function failAfterLimit(signal) {
	await sleep(limitMs, undefined, {signal, ref: false});
	throw new CannotRunError(`the case took longer than ${limitMs} ms`);
}

/** Exit codes of the program of a case. 1 is left to Node.js, which ends with it after an uncaught error. */
const exitCodes = {held: 0, cannotRun: 2, broken: 10};

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
	process.once(signal, () => {
		process.exit(exitCodes.cannotRun);
	});
}

/**
 * Runs a case.
 *
 * @param folder - The folder of the case, which gets the record.
 * @param play - Plays the case; returns how the rule was broken.
 * @returns The exit code, which `run-case.sh` turns into that of the script.
 */
export async function runCase(folder, play) {
	const ended = new AbortController();
	let mesh;
	try {
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
		process.stderr.write(`cannot run: ${error instanceof CannotRunError ? error.message : error.stack}\n`);
		mesh?.record({event: 'cannot-run', reason: error.message});
		return exitCodes.cannotRun;
	} finally {
		ended.abort();
		await mesh?.close();
	}
}

/** Creates a configuration in the platform's format, with one service per route. */
export function createConfig(version, routes, tenants) {
	return {
		version: version.toString(16).padStart(8, '0'),
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000, 'header-timeout': '3s', 'idle-timeout': '15000ms',
		},
		listeners: [{
			host: 'mesh.example',
			rules: routes.map(({prefix, service, type = 'safe', timeout = '1200ms', attempts = 2, latency = '400ms'}) => ({
				name: `r-${prefix}`, 'route-type': type, 'target-latency': latency, priority: 1, match: {prefix}, action: {service, timeout, 'max-attempts': attempts},
			})),
		}],
		clusters: [...new Set(routes.map(({service}) => service))].map(name => ({
			name, 'health-check-path': '/healthz', 'max-connections': 130, protocol: 'h1', tls: false,
		})),
		tenants,
	};
}
