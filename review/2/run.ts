/**
 * LOST around a SIGTERM: a client pipelines two safe requests on a kept connection of a node
 * that is stopped in order. Both are passed on to backend servers.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	CannotRunError, createConfig, readMs, runCase, waitFor, type Mesh, type MeshServer, type Node, type Run,
} from '../harness.js';
import {
	openConnection, type PipelinedRequest, type PipeliningConnection, type RequestEnd,
} from '../pipelining-client.js';

/** Figures of the sheet: grace period, contact window, time budget and timeout of `log-read`; and the pause between two questions for readiness. */
const graceMs = 6000;
const contactWindowMs = 3000;
const budgetMs = 2500;
const timeoutMs = 1200;
const readinessPeriodMs = 1000;
/** Within the sheet's work of `log-read`, 120 ms on average and 720 ms at most. */
const workMs = 650;
/** A client sends a pair this often. */
const pairPeriodMs = 100;
/** Requests are counted until one second after the grace period. */
const countedMs = graceMs + 1000;
/** A worker may still be at work in the last sixth of the grace period, on a request sent no later than this after the signal. */
const lastSixthMs = graceMs * 5 / 6;
const sentInTimeMs = 3000;
/** With TROUBLE=0 the node gets no signal. */
const hasTrouble = process.env.TROUBLE !== '0';

/** What the client knows of a request. */
type Sent = PipelinedRequest & {
	readonly sentAt: number;
	endedAt: number | undefined;
	end: RequestEnd | undefined;
};

/** Returns how the rule was broken. */
function listLostRequests(sent: readonly Sent[], runs: readonly Run[], termAt: number): readonly string[] {
	return sent.flatMap(({id, sentAt, endedAt, end}) => {
		const ran = runs.filter(run => run.id === id);
		const [first] = ran;
		if (first === undefined || endedAt === undefined || end?.status !== 0) {
			return [];
		}

		const isInTime = endedAt - sentAt < Math.min(timeoutMs, budgetMs);
		const isExcused = sentAt - termAt <= sentInTimeMs && ran.some(run => run.endedAt === undefined || run.endedAt - termAt >= lastSixthMs);
		if (!isInTime || isExcused || endedAt < termAt || endedAt - termAt > countedMs) {
			return [];
		}

		const outcome = first.isCut ? 'its server was cut off at work' : 'its server had answered';
		const sending = `request ${id}, sent ${sentAt - termAt} ms after SIGTERM, was passed on to ${first.server} ${first.at - termAt} ms after it`;
		return [`LOST: ${sending}, and its connection ended without an answer after ${endedAt - sentAt} ms; ${outcome}`];
	});
}

const play = async (mesh: Mesh): Promise<readonly string[]> => {
	mesh.store.putConfig(createConfig([{prefix: '/logs/', service: 'logview'}]));
	const nodes: Node[] = [];
	// In one zone, so that more than half of its nodes are in while one is stopped, and the client stops after two misses.
	for (const name of ['n1', 'n2', 'n3']) {
		nodes.push(await mesh.startNode({name, zone: 'hall-a', service: 'logview'}));
	}

	const servers: MeshServer[] = [];
	for (const [index, node] of nodes.entries()) {
		servers.push(await mesh.startServer(node, {id: `i-${index + 1}`, workMs: () => workMs}));
	}

	const [stopped] = nodes;
	if (stopped === undefined) {
		throw new CannotRunError('a node is missing');
	}

	const sent = new Map<string, Sent>();
	const connections: PipeliningConnection[] = [];
	let count = 0;
	let termAt: number | undefined;
	const handleEnd = (request: PipelinedRequest, end: RequestEnd): void => {
		const known = sent.get(request.id);
		if (known === undefined) {
			return;
		}

		known.endedAt = readMs();
		known.end = end;
		mesh.record({
			event: end.status === 0 ? 'client-connection-ended' : 'client-answered', id: request.id, status: end.status, afterClosingAnswer: end.isClosing,
		});
	};

	const sendPair = (): void => {
		let connection = connections.find(candidate => candidate.isIdle());
		if (connection === undefined) {
			connection = openConnection(stopped.outbound, handleEnd);
			connections.push(connection);
		}

		const pair = [0, 1].map((place): PipelinedRequest => {
			count++;
			return {
				id: `r${count}`, target: `/logs/${count}`, leftMs: budgetMs, place,
			};
		});
		for (const request of pair) {
			sent.set(request.id, {
				...request, sentAt: readMs(), endedAt: undefined, end: undefined,
			});
			mesh.record({event: 'client-sends', id: request.id, place: request.place});
		}

		connection.send(pair);
	};

	await waitFor('a request is served', async () => {
		if (sent.size === 0) {
			sendPair();
		}

		return [...sent.values()].some(({end}) => end?.status === 200);
	});

	// The client asks for readiness once a second and sends no new work after two misses.
	let misses = 0;
	let isAsking = true;
	let askedAt = 0;
	const ask = async (): Promise<void> => {
		const isReady = await mesh.isReady(stopped);
		misses = isReady ? 0 : misses + 1;
		mesh.record({event: 'readiness', isReady});
		askedAt = readMs();
	};

	const keepAsking = async (): Promise<void> => {
		while (isAsking && mesh.isOpen()) {
			await ask();
			await sleep(readinessPeriodMs);
		}
	};

	const asking = keepAsking();
	// No process has been started within the contact window when the signal comes.
	const startedAt = readMs();
	while (termAt === undefined || readMs() - termAt < 3000) {
		if (misses < 2) {
			sendPair();
		}

		// The signal comes shortly after a question, so that the second miss is nearly two seconds away.
		if (termAt === undefined && readMs() - startedAt > contactWindowMs && readMs() - askedAt < pairPeriodMs * 2) {
			termAt = readMs();
			if (hasTrouble) {
				mesh.signal(stopped, 'SIGTERM');
			}
		}

		await sleep(pairPeriodMs);
	}

	await sleep(Math.max(0, termAt + countedMs - readMs()));
	isAsking = false;
	await asking;
	for (const connection of connections) {
		connection.close();
	}

	const broken = listLostRequests([...sent.values()], servers.flatMap(server => server.runs), termAt);
	const ends = [...sent.values()].map(({end}) => end?.status);
	process.stdout.write(`${ends.length} requests sent, ${ends.filter(status => status === 200).length} answered with 200, ${ends.filter(status => status === undefined).length} open\n`);
	return broken;
};

process.exitCode = await runCase(play);
