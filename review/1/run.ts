/**
 * DRAIN after a restart: a server says that it leaves, the node beside it acknowledges that and is
 * stopped, and a heartbeat that the server had sent before arrives late at the restarted node.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	CannotRunError, createConfig, readMs, runCase, sendRequest, waitFor, type Mesh, type MeshServer, type Node,
} from '../harness.js';

/** Figures of the sheet. */
const drainTimeoutMs = 2000;
const contactWindowMs = 3000;
const graceMs = 6000;
const budgetMs = 3000;
const workMs = 160;
/** How late the heartbeat arrives. */
const lateMs = 3000;
/** The leave comes this long after the SIGTERM of the node, or this long before its SIGKILL. */
const leaveAfterTermMs = 2000;
const leaveBeforeKillMs = 1000;
/** How long the server goes on serving after the acknowledgement of its leave. Then it exits. */
const servesMs = 9000;
const callPeriodMs = 40;
/** A process that has ended is started again after this delay. */
const restartMs = 500;
/** Zone and service of each machine: the four of `releasehall` as on the sheet, and that of the client, in the zone of the server that leaves. */
const machines: ReadonlyArray<readonly [string, string]> = [['hall-b', 'releasehall'], ['hall-a', 'releasehall'], ['hall-a', 'releasehall'], ['hall-c', 'releasehall'], ['hall-b', 'logview']];
/** With TROUBLE=0 the node gets no signal. */
const hasTrouble = process.env.TROUBLE !== '0';
/** SIGTERM, as in a planned restart, or SIGKILL. */
const isKilled = process.env.SIGNAL === 'SIGKILL';

/** What the client knows of a request. */
type Sent = {
	readonly at: number;
	status: number | undefined;
};

const play = async (mesh: Mesh): Promise<readonly string[]> => {
	mesh.store.putConfig(createConfig([
		{prefix: '/logs/', service: 'logview'},
		{
			prefix: '/publish/', service: 'releasehall', type: 'unsafe', timeout: '1500ms', latency: '500ms',
		},
	]));
	const nodes: Node[] = [];
	for (const [index, [zone, service]] of machines.entries()) {
		nodes.push(await mesh.startNode({name: `n${index + 1}`, zone, service}));
	}

	const servers: MeshServer[] = [];
	for (const [index, node] of nodes.entries()) {
		servers.push(await mesh.startServer(node, {id: `i-${index + 1}`, workMs: () => workMs}));
	}

	const [stopped] = nodes;
	const entry = nodes.at(-1);
	const [leaving] = servers;
	if (stopped === undefined || entry === undefined || leaving === undefined) {
		throw new CannotRunError('a machine is missing');
	}

	let count = 0;
	let isCalling = true;
	const sent = new Map<string, Sent>();
	const call = async (): Promise<void> => {
		count++;
		const id = `r${count}`;
		const request: Sent = {at: readMs(), status: undefined};
		sent.set(id, request);
		mesh.record({event: 'client-sends', id});
		const headers = {host: 'mesh.example', 'stonemoor-attempt-id': id, 'stonemoor-deadline-ms': String(budgetMs)};
		const {status} = await sendRequest(entry.outbound, `/publish/${count}`, {
			method: 'POST', headers, body: 'artifact', timeoutMs: budgetMs,
		});
		request.status = status;
		mesh.record({event: 'client-answered', id, status});
	};

	await waitFor('the leaving server serves requests', async () => {
		await call();
		return leaving.runs.length > 0;
	});
	const keepCalling = async (): Promise<void> => {
		while (isCalling && mesh.isOpen()) {
			void call();
			await sleep(callPeriodMs);
		}
	};

	const calling = keepCalling();

	// All machines are in touch then.
	await sleep(contactWindowMs);
	const stop = (): void => {
		if (hasTrouble) {
			mesh.signal(stopped, isKilled ? 'SIGKILL' : 'SIGTERM');
		}
	};

	if (!isKilled) {
		stop();
		await sleep(leaveAfterTermMs);
	}

	// The server sends a heartbeat, which is delayed on its way, and then says that it leaves.
	const lateHeartbeat = leaving.createHeartbeat();
	const lateAt = readMs() + lateMs;
	leaving.stopHeartbeats();
	const {status} = await leaving.sendLeave();
	const leftAt = readMs();
	mesh.record({event: 'leave-acknowledged', server: leaving.id, status});
	if (status !== 200) {
		throw new CannotRunError(`the leave was answered with status ${status}, not acknowledged`);
	}

	if (isKilled) {
		await sleep(leaveBeforeKillMs);
		stop();
	}

	let restartedAt = 0;
	if (hasTrouble) {
		await waitFor('the node has ended', async () => stopped.child === undefined, graceMs);
		await sleep(restartMs);
		mesh.startProcess(stopped);
		await waitFor('the restarted node is ready', async () => mesh.isReady(stopped), lateMs);
		restartedAt = readMs();
	}

	await sleep(Math.max(0, lateAt - readMs()));
	const beat = await leaving.sendHeartbeat(lateHeartbeat);
	mesh.record({event: 'late-heartbeat', server: leaving.id, status: beat.status});
	await sleep(Math.max(0, leftAt + servesMs - readMs()));
	// The server exits while clients go on sending.
	mesh.record({event: 'server-exits', server: leaving.id});
	leaving.close();
	await sleep(500);
	isCalling = false;
	await calling;
	await sleep(budgetMs);
	// Counted from when the restarted machine is in touch again, so that all machines on the way are.
	const boundAt = Math.max(leftAt + drainTimeoutMs, restartedAt + contactWindowMs);
	const late = leaving.runs.filter(({at}) => at > boundAt);
	const cut = late.filter(({isCut}) => isCut).map(({id}) => `${id} answered ${sent.get(id)?.status ?? 'nothing'}`);
	process.stdout.write(`${sent.size} requests sent, ${late.length} of them reached ${leaving.id} more than ${boundAt - leftAt} ms after its leave was acknowledged\n`);
	process.stdout.write(`of these, cut off at work as it exited: ${cut.join(', ') || 'none'}\n`);
	return late.map(({id, at}) => `DRAIN: request ${id}, sent ${(sent.get(id)?.at ?? at) - leftAt} ms after the leave of ${leaving.id} was acknowledged, reached it ${at - leftAt} ms after that`);
};

process.exitCode = await runCase(play);
