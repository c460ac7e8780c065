/**
 * The HTTP server for callers on this VM and for the backend server beside this
 * node. Answers each request with the complete response of a backend server, or with
 * a failure that says whether the request may have been executed.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {watchCallerConnections} from '../common/caller-connections.js';
import {readSteadyMs} from '../common/clock.js';
import {normalizeTarget} from '../common/origin-form.js';
import {isRepeatable, type CallerLimits, type RouteRule} from '../route-config/route-config.js';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {shouldAdmitLate} from '../decisions/stopping-admission.js';
import {findRoute} from '../route-config/route-index.js';
import {type Workspace} from '../workspaces/workspace.js';
import {createLazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {createExpectedAnswers} from '../memory/expected-answers.js';
import {createDefaultLedger, type MemoryAccount} from '../memory/memory-ledger.js';
import {createRequestWindow} from '../memory/request-window.js';
import {writeInParts} from '../memory/write-in-parts.js';
import {createCallBodies} from './call-bodies.js';
import {createCallScope, deadlineGraceMs, type CallScope} from './call-scope.js';
import {authenticateCaller, createAccessCheck, filterCallerHeaders} from './caller-access.js';
import {getNumberHeader, getStringHeader} from './call-headers.js';
import {watchConnections} from './connection-scopes.js';
import {type ForwardResponse} from './forward-result.js';
import {findInvalidHeaderName} from './read-headers.js';
import {type CallOutcome} from './outgoing-call.js';
import {type EntryContext, type FinishedCall} from './entry-context.js';
import {createEntryRefusals, unusableRouteRetryMs, type EntryCall} from './entry-refusals.js';
import {
	computeMaxTokenWaitMs, describeToken, noToken, releaseToken, type GrantedToken,
} from './quota-token.js';
import {sendCall} from './send-call.js';

/** @internal */
export type EntryServer = {
	readonly server: Server;
	readonly countConnections: () => number;
	readonly applyLimits: (limits: CallerLimits) => void;
	readonly countCalls: () => number;
	/** Returns the ids of the requests whose response has not been created yet. */
	readonly listCalls: () => readonly string[];
	/** Returns the number of connections with responses that have not been sent yet. */
	readonly countUnsentAnswers: () => number;
	/** Makes each connection close from now on after the response to the last request that was read from it. */
	readonly startClosing: () => void;
	/** Refuses requests from now on that may take longer than until the time of `stopAt`, except calls of backend servers. */
	readonly refuseLateRequests: () => void;
	/** Reads what has arrived, then stops accepting connections and requests, and closes the idle connections. */
	readonly stopListening: () => Promise<void>;
	/** Answers all requests by a time, those that arrive later included. In milliseconds of the steady clock. */
	readonly stopAt: (time: number) => void;
	/** Counts what has arrived of heads that have not ended. Must be called periodically, a few times a second. */
	readonly checkConnections: () => void;
};

/** A call that is to be sent. */
type AdmittedCall = {
	readonly route: RouteRule;
	readonly service: string;
	readonly workspace: Workspace | undefined;
	readonly isNestedCall: boolean;
	/** How long the caller has been trying, in milliseconds. */
	readonly ageMs: number;
	/** How long the caller and the operator wait for the answer, in milliseconds. */
	readonly timeLeftMs: number;
};

/** The largest request head that is accepted. */
const maxHeaderBytes = 65_536;

/** Idle connections are kept this much longer than the configured idle timeout, because a request may be in transit when that timeout expires. */
const keepAliveGraceMs = 1000;

/** Responses up to this size are sent in one write. Larger ones would cost more to convert than a second write. */
const maxJoinedBodyBytes = 16_384;

/** Requests of one connection that are in work at the same time; those behind them wait and are not read further. Callers that send ahead send a few. */
const maxRequestsInWork = 64;

/** Requests of one connection that start in one iteration of the event loop: more than callers send ahead that wait for their answers. */
const maxStartsPerIteration = 8;

/** Retry delay for a request that is refused because the memory for answers is in use. */
const memoryRetryMs = 1000;

/** Retry delay while this node has no configuration. */
const noConfigRetryMs = 250;

/**
 * Creates the server for callers.
 *
 * @param context - The configuration, the logs and everything needed to send calls.
 * @returns The server, not listening yet.
 * @internal
 */
export function createEntryServer(context: EntryContext): EntryServer {
	const {
		headerNames, log, ledger = createDefaultLedger(), maxConnections = Number.POSITIVE_INFINITY, handleClosed = () => undefined,
	} = context;
	const server = createServer({
		maxHeaderSize: maxHeaderBytes, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: 1000,
	});
	const connections = watchCallerConnections(server, ({headers}, {statusCode}) => {
		// The line of the call alone does not show that its caller lacks the answer.
		log.record('info', {kind: 'answer-not-sent', call: getStringHeader(headers, headerNames.callId) ?? '', status: statusCode});
	});
	const scopes = watchConnections(server);
	const window = createRequestWindow(server, {
		ledger, maxConnections, maxInWork: maxRequestsInWork, maxStartsPerIteration, handleClosed,
	});
	const expectedAnswers = createExpectedAnswers(ledger.getLimit('buffers'));
	const calls = new Set<EntryCall>();
	let isClosing = false;
	let isRefusingLate = false;
	const refusals = createEntryRefusals(context, connections.tryClose, () => isClosing);
	const {refuseAndLog, logCallerLeft} = refusals;
	const bodies = createCallBodies(ledger, (call, status, reason, retryAfterMs) => {
		refuseAndLog(call, context.getConfig()?.config.version ?? 0, status, reason, retryAfterMs);
	});

	const sendAnswer = (call: EntryCall, answer: ForwardResponse): void => {
		const {request, response} = call;
		if (response.destroyed) {
			return;
		}

		const headers: Record<string, string | string[]> = {...answer.headers as Record<string, string | string[]>};
		Object.assign(headers, refusals.getClosingHeaders(request));
		if (request.method !== 'HEAD') {
			headers['content-length'] = String(answer.body.length);
		}

		response.writeHead(answer.status, headers);
		window.addBytes(call.turn, answer.body.length);
		if (answer.body.length <= maxJoinedBodyBytes) {
			// As text, the body is sent in one write with the head.
			response.end(Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength).toString('latin1'), 'latin1');
			return;
		}

		writeInParts(response, answer.body, call.turn.account.recordProgress);
	};

	/** Handles a call whose scope ended before it was sent: its caller has left, or this node shuts down. */
	const handleEndBeforeSending = (call: EntryCall, version: number, route: RouteRule, scope: CallScope): void => {
		if (scope.getEndReason() === 'stopping') {
			refuseAndLog(call, version, 503, 'this node shuts down');
			return;
		}

		logCallerLeft(call, route);
	};

	/** Takes a token of the quota of the workspace. Returns `undefined` if the request was refused, or if its caller has left. */
	const acquireToken = async (call: EntryCall, version: number, route: RouteRule, scope: CallScope, workspace: Workspace | undefined): Promise<GrantedToken | undefined> => {
		if (workspace?.ratePerSecond === undefined) {
			return noToken;
		}

		const decision = await context.quotas.acquire(workspace, computeMaxTokenWaitMs(route), scope);
		switch (decision.type) {
			case 'granted': {
				return decision;
			}

			case 'cancelled': {
				handleEndBeforeSending(call, version, route, scope);
				return undefined;
			}

			case 'over':
			case 'unknown': {
				refusals.refuseForQuota(call, version, workspace, decision);
				return undefined;
			}
		}
	};

	const finish = (call: EntryCall, scope: CallScope, activeConfig: ActiveConfig, outcome: CallOutcome & {readonly route: RouteRule; readonly service: string; readonly workspace: string | undefined; readonly quota: FinishedCall['quota']}): void => {
		const {result, verdict, attempts} = outcome;
		const now = readSteadyMs();
		const status = result.type === 'answered' ? result.status : refusals.sendFailure(call, result, verdict, outcome.route.targetLatencyMs);
		if (result.type === 'answered') {
			sendAnswer(call, result);
		} else if (result.reason === 'unauthorized') {
			refusals.recordCallerRefusal(call, outcome.route, 'withdrawn-key', result.detail);
		}

		context.handleFinished({
			id: call.id, route: outcome.route.name, service: outcome.service, workspace: outcome.workspace, version: activeConfig.config.version, status, verdict, attempts,
			reason: result.type === 'answered' ? 'answered' : `${result.reason}: ${result.detail}`,
			tookMs: Math.round(now - call.receivedAt),
			unreadMs: Math.round(call.unreadMs),
			leftMs: Math.round(scope.deadlineAt - now),
			...outcome.quota === undefined ? {} : {quota: outcome.quota},
		});
	};

	const findRouteIn = ({index}: ActiveConfig, {headers, url}: IncomingMessage): RouteRule | undefined => findRoute(index, headers.host ?? '', url ?? '/');

	/** Whether a configuration has a route for a request, and knows its key. */
	const isAccepted = (activeConfig: ActiveConfig, request: IncomingMessage): boolean => {
		const route = findRouteIn(activeConfig, request);
		return route !== undefined && authenticateCaller(activeConfig, request, route, headerNames).type !== 'refused';
	};

	/** Returns the configuration to handle a request with. Waits for a newer configuration if one is known and the active one does not accept the request. */
	const chooseConfig = async (request: IncomingMessage): Promise<ActiveConfig | undefined> => {
		const activeConfig = context.getConfig();
		if (activeConfig === undefined || !context.isConfigOutdated() || isAccepted(activeConfig, request)) {
			return activeConfig;
		}

		await context.waitForNewerConfig();
		return context.getConfig();
	};

	/** Whether a request that was read late in the shutdown may be finished. */
	const mayFinish = ({timeStartsAt}: EntryCall, {type}: RouteRule, isNestedCall: boolean, timeLeftMs: number): boolean => shouldAdmitLate(
		{isNestedCall, isRepeatable: isRepeatable(type), deadlineAt: timeStartsAt + timeLeftMs},
		{stopTime: scopes.getStopTime(), serverWorksUntil: context.localGate.getServerWorksUntil()},
	);

	/** Admits a call. Returns `undefined` if it was refused. */
	const admit = (call: EntryCall, activeConfig: ActiveConfig): AdmittedCall | undefined => {
		const {request} = call;
		const {version} = activeConfig.config;
		const route = findRouteIn(activeConfig, request);
		if (route === undefined) {
			refusals.refuseUnmatched(call, activeConfig);
			return undefined;
		}

		if (call.id === '') {
			refuseAndLog(call, version, 400, `the request lacks the header ${headerNames.callId}`);
			return undefined;
		}

		const invalidName = findInvalidHeaderName(request.headers);
		if (invalidName !== undefined) {
			refuseAndLog(call, version, 400, `the header name ${JSON.stringify(invalidName)} contains a character that names must not contain`);
			return undefined;
		}

		const authentication = authenticateCaller(activeConfig, request, route, headerNames);
		if (authentication.type === 'refused') {
			refusals.refuseUnauthorized(call, activeConfig, route, authentication.cause);
			return undefined;
		}

		const workspace = authentication.type === 'authenticated' ? authentication.workspace : undefined;
		const service = context.weightedRoundRobin.pick(route);
		if (service === undefined) {
			refuseAndLog(call, version, 503, 'the route has no service with a weight above 0', unusableRouteRetryMs);
			return undefined;
		}

		const callerTimeoutMs = getNumberHeader(request.headers, headerNames.timeLeft) ?? route.timeoutMs;
		const isNestedCall = context.nestedCallDetector.recordCall(service, route.name, route.targetLatencyMs);
		// A backend server gives its nested calls the remaining time of the request that it executes, so a short time does not indicate a retry.
		const ageMs = isNestedCall ? 0 : context.callerRetryDetector.recordCall(route.name, callerTimeoutMs);
		const timeLeftMs = Math.min(callerTimeoutMs, route.timeoutMs);
		if (isRefusingLate && !mayFinish(call, route, isNestedCall, timeLeftMs)) {
			refuseAndLog(call, version, 503, 'this node shuts down, and the request may take longer than it runs');
			return undefined;
		}

		return {
			route, service, workspace, isNestedCall, ageMs, timeLeftMs,
		};
	};

	/** Reserves room for the answer of a request that is in work. */
	const reserve = (bytes: number): MemoryAccount | undefined => {
		if (bytes === 0) {
			return undefined;
		}

		const reservation = ledger.open();
		reservation.add('buffers', bytes);
		return reservation;
	};

	const runCall = async (call: EntryCall): Promise<void> => {
		const {request, turn} = call;
		if (turn.wait !== undefined && !(await turn.wait)) {
			log.record('info', {kind: 'request-not-admitted', call: call.id});
			return;
		}

		const activeConfig = context.isConfigOutdated() ? await chooseConfig(request) : context.getConfig();
		if (activeConfig === undefined) {
			refuseAndLog(call, 0, 503, 'this node has no configuration yet', noConfigRetryMs);
			return;
		}

		const admitted = admit(call, activeConfig);
		if (admitted === undefined) {
			return;
		}

		const {route, service, workspace, isNestedCall, ageMs, timeLeftMs} = admitted;
		const {version, limits} = activeConfig.config;
		let bufferedBytes = 0;
		let token: GrantedToken | undefined;
		let reservation: MemoryAccount | undefined;
		// Set once the call is sent, since an unexpected error may follow.
		let mayHaveRun = false;
		const scope = createCallScope(call.timeStartsAt + timeLeftMs + deadlineGraceMs, scopes.getStopTime());
		const removeFromConnection = scopes.add(request.socket, scope);
		try {
			await context.waitForPendingInput(request.socket.bytesWritten === 0, scope.subscribe);
			if (scope.getEndReason() === 'cancelled') {
				logCallerLeft(call, route);
				return;
			}

			token = await acquireToken(call, version, route, scope, workspace);
			if (token === undefined) {
				return;
			}

			const body = await bodies.read(call, limits.maxBodyBytes, scope);
			if (body === 'refused') {
				return;
			}

			bufferedBytes = body?.length ?? 0;
			const expectedBytes = expectedAnswers.estimate(route.name);
			if (!ledger.clearRoom('buffers', expectedBytes)) {
				refuseAndLog(call, version, 503, 'the memory for answers is in use by other requests', memoryRetryMs);
				return;
			}

			reservation = reserve(expectedBytes);
			const {method = 'GET', url: target = '/'} = request;
			mayHaveRun = true;
			window.startServing(turn);
			const outcome = await sendCall(context, {
				id: call.id,
				route,
				service,
				method,
				target,
				headers: filterCallerHeaders(activeConfig, request, headerNames),
				body,
				fingerprint: createLazyFingerprint({
					method, host: request.headers.host ?? '', target, body,
				}),
				receivedAt: call.receivedAt,
				isNestedCall,
				ageMs,
				scope,
				workspace,
				checkAccess: createAccessCheck(context, {
					request, route, activeConfig, workspace,
				}),
			});
			window.endServing(turn);
			mayHaveRun = outcome.verdict !== 'not-run';
			reservation?.close();
			if (outcome.result.type === 'answered') {
				expectedAnswers.record(route.name, outcome.result.body.length);
			}

			finish(call, scope, activeConfig, {
				...outcome, route, service, workspace: workspace?.name, quota: describeToken(token, mayHaveRun),
			});
		} finally {
			releaseToken(token, mayHaveRun);
			bodies.release(call, bufferedBytes);
			reservation?.close();
			removeFromConnection();
			scope.dispose();
		}
	};

	const runAndCatch = async (call: EntryCall): Promise<void> => {
		calls.add(call);
		try {
			await runCall(call);
		} catch (error) {
			// A bug in this program. Destroys the connection, so that the caller does not take a partial response for a complete one.
			log.record('error', {kind: 'node-failed', call: call.id, reason: (error as Error).stack ?? String(error)});
			call.response.destroy();
		} finally {
			calls.delete(call);
		}
	};

	const handle = (request: IncomingMessage, response: ServerResponse, sendContinue: () => void): void => {
		const id = getStringHeader(request.headers, headerNames.callId) ?? '';
		if (!connections.admit(request, response)) {
			window.drop(request.socket);
			log.record('info', {kind: 'request-not-admitted', call: id});
			return;
		}

		normalizeTarget(request);
		const now = readSteadyMs();
		const {leastMs, mostMs} = context.estimateUnread();
		void runAndCatch({
			id, request, response, receivedAt: now - mostMs, timeStartsAt: now - leastMs, unreadMs: mostMs, turn: window.take(request, response), sendContinue,
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
			server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveGraceMs;
			server.headersTimeout = limits.headerTimeoutMs;
		},
		countCalls: () => calls.size,
		listCalls: () => Array.from(calls, ({id}) => id),
		countUnsentAnswers: connections.countUnsent,
		startClosing() {
			isClosing = true;
		},
		refuseLateRequests() {
			isRefusingLate = true;
		},
		stopListening: connections.stop,
		countConnections: window.countConnections,
		checkConnections: window.check,
		stopAt: scopes.stopAt,
	};
}
