/**
 * Refuses requests at the entry. Each refusal says whether the request was executed, is logged, and
 * names a retry delay where a retry may succeed.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {readSteadyMs} from '../common/clock.js';
import {type Verdict} from '../common/verdict.js';
import {computeRetryAfterMs} from '../decisions/retry-after.js';
import {type QuotaDecision} from '../quotas/quotas.js';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {type RouteRule} from '../route-config/route-config.js';
import {normalizeHost} from '../route-config/route-index.js';
import {type CallerCause, type LogLevel, type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {describeAuthenticationFailure, type AuthenticationFailure} from '../workspaces/authenticate-request.js';
import {type Workspace} from '../workspaces/workspace.js';
import {type RequestTurn} from '../memory/window-connection.js';
import {type CallHeaderNames} from './call-headers.js';
import {outdatedConfigRetryMs} from './caller-access.js';
import {isCapacityReason, type ForwardFailure} from './forward-result.js';
import {hasBody} from './read-body.js';
import {chooseFailureStatus} from './send-call.js';

/** A request of a caller, with its response. @internal */
export type EntryCall = {
	readonly id: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** When the request arrived at the earliest, in milliseconds of the steady clock. Its age counts from then. */
	readonly receivedAt: number;
	/** When the request arrived at the latest, on the same clock. Its time counts from then, so that it never ends while its caller still waits. */
	readonly timeStartsAt: number;
	/** How long the request has waited unread at most, in milliseconds. */
	readonly unreadMs: number;
	/** Its place among the requests of its connection, and what is held for its caller. */
	readonly turn: RequestTurn;
	/** Sends `100 Continue` if the caller waits for it. */
	readonly sendContinue: () => void;
};

/** Retry delay for a route that cannot be used until the configuration changes. That happens many times an hour, not many times a second, so an earlier retry would rarely succeed. @internal */
export const unusableRouteRetryMs = 1000;

/** @internal */
export type EntryRefusalContext = {
	readonly headerNames: CallHeaderNames;
	readonly log: MeshLog;
	readonly refusals: Pick<RefusalLog, 'record'>;
	readonly random: () => number;
	/** Whether this node knows of a newer configuration than the one it holds. */
	readonly isConfigOutdated: () => boolean;
};

/** @internal */
export type EntryRefusals = ReturnType<typeof createEntryRefusals>;

/**
 * @param context - The names of the headers, and the logs.
 * @param tryClose - Returns whether the response to a request may close its connection. If so, the connection admits no further requests.
 * @param isClosing - Whether each connection is closed after its next response.
 * @returns Functions that answer requests with refusals.
 * @internal
 */
export function createEntryRefusals(context: EntryRefusalContext, tryClose: (request: IncomingMessage) => boolean, isClosing: () => boolean) {
	const {headerNames, log, random} = context;

	/** A response closes its connection only if no request was read behind it: the response to that request would be dropped, although a backend server may run it. */
	const getClosingHeaders = (request: IncomingMessage): {readonly connection?: string} =>
		(isClosing() || (!request.complete && hasBody(request))) && tryClose(request) ? {connection: 'close'} : {};

	const refuse = ({id, request, response}: EntryCall, status: number, reason: string, retryAfterMs = 0): void => {
		if (response.destroyed || response.headersSent) {
			return;
		}

		const body = Buffer.from(`${JSON.stringify({reason, verdict: status === 503 || status === 429 ? 'not-run' : undefined})}\n`);
		response.writeHead(status, {
			'content-type': 'application/json',
			'content-length': body.length,
			[headerNames.callId]: id,
			...status === 401 ? {'www-authenticate': headerNames.authorizationScheme} : {},
			...retryAfterMs > 0 ? {'retry-after': (retryAfterMs / 1000).toFixed(3)} : {},
			...getClosingHeaders(request),
		});
		response.end(body);
	};

	const sendFailure = (call: EntryCall, failure: ForwardFailure, verdict: Verdict, targetLatencyMs: number): number => {
		const status = chooseFailureStatus(failure, verdict);
		refuse(call, status, failure.reason, status === 503 ? computeRetryAfterMs({waitMs: failure.retryAfterMs, targetLatencyMs, isOverloaded: isCapacityReason(failure.reason)}, random) : 0);
		return status;
	};

	const logRefusal = (level: LogLevel, {id, request}: EntryCall, version: number, {status, reason}: {readonly status: number; readonly reason: string}): void => {
		log.record(level, {
			kind: 'request-refused', call: id, status, reason, host: request.headers.host ?? '', path: request.url ?? '', version,
		});
	};

	const refuseAndLog = (call: EntryCall, version: number, status: number, reason: string, retryAfterMs = 0): void => {
		logRefusal('info', call, version, {status, reason});
		refuse(call, status, reason, retryAfterMs);
	};

	const logCallerLeft = ({id, receivedAt}: EntryCall, route: RouteRule): void => {
		log.record('info', {
			kind: 'caller-left', call: id, route: route.name, waitedMs: Math.round(readSteadyMs() - receivedAt),
		});
	};

	const recordCallerRefusal = ({id, request}: EntryCall, route: RouteRule, cause: CallerCause, reason: string): void => {
		context.refusals.record({
			kind: 'caller-refused', cause, place: `${request.socket.remoteAddress ?? 'a closed connection'} on route ${route.name}`, reason, call: id,
		});
	};

	/** Refuses a request that matches no known route. Answers 503 instead of 404 if the route may exist: one of its host could not be read, or a newer configuration may contain it. */
	const refuseUnmatched = (call: EntryCall, {config: {version, unreadHosts}}: ActiveConfig): void => {
		if (unreadHosts.has(normalizeHost(call.request.headers.host ?? ''))) {
			refuseAndLog(call, version, 503, 'no route that this node can read matches host and path', unusableRouteRetryMs);
			return;
		}

		if (context.isConfigOutdated()) {
			refuseAndLog(call, version, 503, 'no route matches host and path, but this node has not received the newest configuration version yet', outdatedConfigRetryMs);
			return;
		}

		refuseAndLog(call, version, 404, 'no route matches host and path');
	};

	/**
	 * Refuses a request whose caller is not identified. Answers 503 to an unknown key that a newer configuration may contain. Refusals are logged at a limited rate,
	 * since a caller with a wrong key may send as fast as it can.
	 */
	const refuseUnauthorized = (call: EntryCall, {config: {version}}: ActiveConfig, route: RouteRule, cause: AuthenticationFailure): void => {
		const isOutdated = cause === 'unknown-key' && context.isConfigOutdated();
		const reason = isOutdated
			? 'the key is unknown, but this node has not received the newest configuration version yet'
			: `not authorized: ${describeAuthenticationFailure(cause)}`;
		const status = isOutdated ? 503 : 401;
		recordCallerRefusal(call, route, isOutdated ? 'outdated-config' : cause, reason);
		logRefusal('debug', call, version, {status, reason});
		refuse(call, status, reason, isOutdated ? outdatedConfigRetryMs : 0);
	};

	/** Refuses a request that got no token of the quota of its workspace. */
	const refuseForQuota = (call: EntryCall, version: number, {name}: Workspace, decision: Extract<QuotaDecision, {readonly type: 'over' | 'unknown'}>): void => {
		const status = decision.type === 'over' ? 429 : 503;
		const reason = decision.type === 'over' ? 'its workspace is over its quota' : 'no coordinator of the quota of its workspace has answered in time';
		log.record('info', {
			kind: 'request-refused', call: call.id, status, reason, host: call.request.headers.host ?? '', path: call.request.url ?? '', version, workspace: name, quota: decision.type,
		});
		refuse(call, status, reason, decision.retryAfterMs);
	};

	return {
		getClosingHeaders, refuse, refuseAndLog, sendFailure, logCallerLeft, recordCallerRefusal, refuseUnmatched, refuseUnauthorized, refuseForQuota,
	};
}
