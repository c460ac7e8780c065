/**
 * Takes the requests of callers on this VM and of the backend server beside
 * this node, and answers each with the whole answer of a backend server, or
 * with a failure that says whether it may have run.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer} from 'node:net';
import {readSteadyMs} from '../common/clock.js';
import {type LoopLag} from '../common/loop-lag.js';
import {type Verdict} from '../common/verdict.js';
import {type CallerLimits, type RouteRule} from '../route-config/route-config.js';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {type NestedCallDetector} from '../decisions/nested-call-detector.js';
import {computeRetryAfterMs} from '../decisions/retry-after.js';
import {normalizeHost, findRoute} from '../route-config/route-index.js';
import {type WeightedRoundRobin} from '../route-config/weighted-round-robin.js';
import {type AttemptNote, type MeshLog} from '../timeline/mesh-log.js';
import {type CallerRetryDetector} from '../decisions/caller-retry-detector.js';
import {createLazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {createByteBudget} from './byte-budget.js';
import {createCallScope, endGraceMs, type CallScope} from './call-scope.js';
import {
	filterCallHeaders, getAmount, getText, type WireHeaders,
} from './call-headers.js';
import {watchConnections} from './connection-scopes.js';
import {type ForwardResponse, type ForwardFailure} from './forward-result.js';
import {
	BodyTooLargeError, BodyTooLateError, hasBody, NoRoomForBodyError, readBody,
} from './read-body.js';
import {type CallOutcome, type SendContext} from './outgoing-call.js';
import {chooseFailureStatus, sendCall} from './send-call.js';

/** A call that has ended, for logs and metrics. @internal */
export type FinishedCall = {
	readonly id: string;
	readonly route: string;
	readonly service: string;
	readonly version: number;
	readonly status: number;
	readonly verdict: Verdict;
	readonly reason: string;
	readonly tookMs: number;
	readonly leftMs: number;
	readonly attempts: readonly AttemptNote[];
};

/** @internal */
export type EntryContext = SendContext & {
	readonly wire: WireHeaders;
	readonly getConfig: () => ActiveConfig | undefined;
	/** Whether a newer configuration is known of than that one. */
	readonly isBehind: () => boolean;
	/** Waits until it is here, or a moment has passed. */
	readonly waitForNewer: () => Promise<void>;
	readonly splitter: WeightedRoundRobin;
	readonly returningCallers: CallerRetryDetector;
	readonly awaitedRoutes: NestedCallDetector;
	readonly log: MeshLog;
	/** Waits until the work on a request may begin: whatever has arrived meanwhile is heard first if this process lags behind. */
	readonly waitForWork: (isNewConnection: boolean) => Promise<void>;
	/** For how long a request that was read just now may have lain unread, in milliseconds. */
	readonly estimateUnreadMs: LoopLag['estimateUnreadMs'];
	readonly handleFinished: (call: FinishedCall) => void;
};

/** @internal */
export type EntryServer = {
	readonly server: Server;
	readonly applyLimits: (limits: CallerLimits) => void;
	readonly countCalls: () => number;
	/** Connections of callers who have not read their answers yet. */
	readonly countUnsent: () => number;
	/** From here on each answer closes its connection. */
	readonly startClosing: () => void;
	/** Takes no more connections, and closes those that carry nothing. */
	readonly stopListening: () => void;
};

/** One request of a caller on its way. */
type EntryCall = {
	readonly id: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly receivedAt: number;
	readonly askForBody: () => void;
};

/** The largest head that is taken before a configuration says otherwise. Bytes. */
const maxHeaderBytes = 65_536;

/** Connections are kept this much longer than callers are told, in milliseconds: a request may be on its way when the time is over. */
const idleGraceMs = 1000;

/** What bodies may hold of this node's memory together. Bytes: a third of what the smallest VMs of the users give a process. */
const maxHeldBytes = 83_886_080;

/** When memory for a large body may be free again. Milliseconds. */
const bodyRetryMs = 1000;

/** When a node without a configuration is worth asking again, in milliseconds. */
const notReadyRetryMs = 250;

/** When a node that is behind is worth asking again, in milliseconds: most get a newer configuration sooner. */
const behindRetryMs = 300;

/** When a route that leads nowhere may lead somewhere again: with the next configuration. Milliseconds: changes come many times an hour, not many times a second. */
const unreadRetryMs = 1000;

/** What a caller is told whose body was not taken: none of these was run. */
function chooseBodyStatus(error: unknown): number {
	if (error instanceof BodyTooLateError) {
		return 408;
	}

	return error instanceof BodyTooLargeError ? 413 : 400;
}

/**
 * Creates the server for callers.
 *
 * @param context - What it works with.
 * @returns The server, not listening yet.
 * @internal
 */
export function createEntryServer(context: EntryContext): EntryServer {
	const {wire, log, random} = context;
	const server = createServer({
		maxHeaderSize: maxHeaderBytes, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: 1000,
	});
	const connections = watchConnections(server);
	let calls = 0;
	const heldBodies = createByteBudget(maxHeldBytes);
	let isClosing = false;

	const getClosingHeaders = (request: IncomingMessage): {readonly connection?: string} =>
		isClosing || !request.complete ? {connection: 'close'} : {};

	const refuse = ({id, request, response}: EntryCall, status: number, reason: string, comeBackMs = 0): void => {
		if (response.destroyed || response.headersSent) {
			return;
		}

		const body = Buffer.from(`${JSON.stringify({reason, verdict: status === 503 ? 'not-run' : undefined})}\n`);
		response.writeHead(status, {
			'content-type': 'application/json',
			'content-length': body.length,
			[wire.callId]: id,
			...comeBackMs > 0 ? {'retry-after': (comeBackMs / 1000).toFixed(3)} : {},
			...getClosingHeaders(request),
		});
		response.end(body);
	};

	const sendAnswer = (call: EntryCall, answer: ForwardResponse): void => {
		const {request, response} = call;
		if (response.destroyed) {
			return;
		}

		const lengthHeaders = request.method === 'HEAD' ? {} : {'content-length': String(answer.body.length)};
		response.writeHead(answer.status, {...answer.headers as Record<string, string | string[]>, ...lengthHeaders, ...getClosingHeaders(request)});
		response.end(answer.body);
	};

	const sendFailure = (call: EntryCall, failure: ForwardFailure, verdict: Verdict, targetLatencyMs: number): number => {
		const status = chooseFailureStatus(failure, verdict);
		refuse(call, status, failure.reason, status === 503 ? computeRetryAfterMs({waitMs: failure.retryAfterMs, targetLatencyMs, isOverloaded: failure.reason === 'full'}, random) : 0);
		return status;
	};

	const refuseEarly = (call: EntryCall, version: number, status: number, reason: string, comeBackMs = 0): void => {
		log.record('info', {
			kind: 'request-refused', call: call.id, status, reason, host: call.request.headers.host ?? '', path: call.request.url ?? '', version,
		});
		refuse(call, status, reason, comeBackMs);
	};

	/** Refuses a request that no known route matches; one that may be meant for a route that could not be read, or that is not here yet, is not told that there is none. */
	const refuseUnrouted = (call: EntryCall, {config: {version, unreadHosts}}: ActiveConfig): void => {
		if (unreadHosts.has(normalizeHost(call.request.headers.host ?? ''))) {
			refuseEarly(call, version, 503, 'no route that this node can read matches host and path', unreadRetryMs);
			return;
		}

		if (context.isBehind()) {
			refuseEarly(call, version, 503, 'no route matches host and path, and a newer version is known of that is not here yet', behindRetryMs);
			return;
		}

		refuseEarly(call, version, 404, 'no route matches host and path');
	};

	const takeBody = async (call: EntryCall, maxBodyBytes: number, scope: CallScope): Promise<Uint8Array | undefined | 'refused'> => {
		if (!hasBody(call.request)) {
			return undefined;
		}

		call.askForBody();
		try {
			return await readBody(call.request, maxBodyBytes, heldBodies, handleEnd => scope.subscribe(reason => {
				// A connection that has closed is told by the request itself.
				if (reason === 'timeout') {
					handleEnd();
				}
			}));
		} catch (error) {
			if (error instanceof NoRoomForBodyError) {
				refuseEarly(call, context.getConfig()?.config.version ?? 0, 503, error.message, bodyRetryMs);
				return 'refused';
			}

			refuseEarly(call, context.getConfig()?.config.version ?? 0, chooseBodyStatus(error), (error as Error).message);
			return 'refused';
		}
	};

	const finish = (call: EntryCall, scope: CallScope, held: ActiveConfig, outcome: CallOutcome & {readonly route: RouteRule; readonly service: string}): void => {
		const {result, verdict, attempts} = outcome;
		const now = readSteadyMs();
		const status = result.type === 'answered' ? result.status : sendFailure(call, result, verdict, outcome.route.targetLatencyMs);
		if (result.type === 'answered') {
			sendAnswer(call, result);
		}

		context.handleFinished({
			id: call.id, route: outcome.route.name, service: outcome.service, version: held.config.version, status, verdict, attempts,
			reason: result.type === 'answered' ? 'answered' : `${result.reason}: ${result.detail}`,
			tookMs: Math.round(now - call.receivedAt),
			leftMs: Math.round(scope.endsAt - now),
		});
	};

	const findRouteIn = ({index}: ActiveConfig, {headers, url}: IncomingMessage): RouteRule | undefined => findRoute(index, headers.host ?? '', url ?? '/');

	/** The configuration that a request is handled by: if no route of the one in force matches it and a newer one is known of, that one is waited for. */
	const chooseConfig = async (request: IncomingMessage): Promise<ActiveConfig | undefined> => {
		const held = context.getConfig();
		if (held === undefined || !context.isBehind() || findRouteIn(held, request) !== undefined) {
			return held;
		}

		await context.waitForNewer();
		return context.getConfig();
	};

	const run = async (call: EntryCall): Promise<void> => {
		const {request} = call;
		const held = context.isBehind() ? await chooseConfig(request) : context.getConfig();
		if (held === undefined) {
			refuseEarly(call, 0, 503, 'this node has no configuration yet', notReadyRetryMs);
			return;
		}

		const {version, limits} = held.config;
		const route = findRouteIn(held, request);
		if (route === undefined) {
			refuseUnrouted(call, held);
			return;
		}

		if (call.id === '') {
			refuseEarly(call, version, 400, `the request lacks the header ${wire.callId}`);
			return;
		}

		const service = context.splitter.pick(route);
		if (service === undefined) {
			refuseEarly(call, version, 503, 'no part of the route takes traffic', unreadRetryMs);
			return;
		}

		const callerWaitsMs = getAmount(request.headers, wire.timeLeft) ?? route.timeoutMs;
		const isAwaited = context.awaitedRoutes.recordCall(service, route.name, route.targetLatencyMs);
		// The time left of calls that backend servers make is that of their own callers.
		const ageMs = isAwaited ? 0 : context.returningCallers.recordCall(route.name, callerWaitsMs);
		const timeLeftMs = Math.min(callerWaitsMs, route.timeoutMs);
		let heldBytes = 0;
		const scope = createCallScope(call.receivedAt + timeLeftMs + endGraceMs);
		const forget = connections.add(request.socket, scope);
		try {
			await context.waitForWork(request.socket.bytesWritten === 0);
			if (scope.getEnd() === 'cancelled') {
				log.record('info', {
					kind: 'caller-left', call: call.id, route: route.name, waitedMs: Math.round(readSteadyMs() - call.receivedAt),
				});
				return;
			}

			const body = await takeBody(call, limits.maxBodyBytes, scope);
			if (body === 'refused') {
				return;
			}

			heldBytes = body?.length ?? 0;

			const {method = 'GET', url: target = '/'} = request;
			const outcome = await sendCall(context, {
				id: call.id,
				route,
				service,
				method,
				target,
				headers: filterCallHeaders(request.headers),
				body,
				mark: createLazyFingerprint({
					method, host: request.headers.host ?? '', target, body,
				}),
				receivedAt: call.receivedAt,
				isAwaited,
				ageMs,
				scope,
			});
			finish(call, scope, held, {...outcome, route, service});
		} finally {
			heldBodies.release(heldBytes);
			forget();
			scope.dispose();
		}
	};

	const runSafely = async (call: EntryCall): Promise<void> => {
		calls++;
		try {
			await run(call);
		} catch (error) {
			// A fault of this program: the caller must not take what it has so far for an answer.
			log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
			call.response.destroy();
		} finally {
			calls--;
		}
	};

	const handle = (request: IncomingMessage, response: ServerResponse, askForBody: () => void): void => {
		const id = getText(request.headers, wire.callId) ?? '';
		void runSafely({
			id, request, response, receivedAt: readSteadyMs() - context.estimateUnreadMs(), askForBody,
		});
	};

	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		handle(request, response, () => undefined);
	});
	server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		handle(request, response, () => {
			response.writeContinue();
		});
	});

	return {
		server,
		applyLimits(limits) {
			server.keepAliveTimeout = limits.idleTimeoutMs + idleGraceMs;
			server.headersTimeout = limits.headerTimeoutMs;
		},
		countCalls: () => calls,
		countUnsent: connections.countUnsent,
		startClosing() {
			isClosing = true;
		},
		stopListening() {
			// The HTTP server's own `close` takes a connection for idle once its answer is handed over, and cuts what has not left yet.
			NetServer.prototype.close.call(server);
			connections.closeIdle();
		},
	};
}
