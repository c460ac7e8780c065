/**
 * Converts the end of an exchange with the backend server to the result of an attempt,
 * and measures how many of the requests of the server fail.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {getStringHeader, removeHopByHopHeaders, type CallHeaderNames} from './call-headers.js';
import {type CrashWatch} from './crash-watch.js';
import {type ExchangeFailure, type ExchangeResponse, type ExchangeResult} from './exchange.js';
import {
	createMayHaveRun, createNotRun, type ForwardFailure, type ForwardResult,
} from './forward-result.js';

/** @internal */
export type ExchangeConverterContext = {
	readonly lifetime: ServerLifetime;
	readonly headerNames: CallHeaderNames;
	readonly quarantine: Pick<Quarantine, 'check' | 'recordResponse'>;
	readonly crashWatch: CrashWatch;
	/** Whether the session takes no more requests. */
	readonly hasEnded: () => boolean;
	/** Called when the server could not be reached. */
	readonly handleUnreachable: (lifetime: ServerLifetime, reason: string) => void;
	/** Called when another server responded at the address (status 421). */
	readonly handleMisdirected: (lifetime: ServerLifetime) => void;
	/** Applies what a response says of its server. */
	readonly recordNotices: (headers: IncomingHttpHeaders) => void;
};

/** @internal */
export type ExchangeConverter = {
	/** Converts a response or a failure. Takes a moment if a crash of the server has to be checked for. */
	readonly convert: (id: string, fingerprint: LazyFingerprint, result: ExchangeResult) => Promise<ForwardResult>;
	/** Returns the moving average of the share of failed requests, 0 to 1. */
	readonly getFailureShare: () => number;
};

/** Backoff after a failed connection to the server: a restart takes about as long. @internal */
export const unreachableBackoffMs = 500;

/** Weight of the newest request in the moving average of failures, which covers about ten requests. */
const failureWeight = 0.1;

/** Failure of a request that was not sent because its session has ended. @internal */
export const sessionEndedFailure = createNotRun('gone', 'backend server has restarted or was replaced');

/**
 * Creates a function that tells whether a response belongs to a request. A refusal without an id belongs to it only if
 * nothing was sent or received on the connection before: a second response to an earlier request could lack the id too,
 * and a request that runs would be taken for one that was refused.
 *
 * @param id - Id of the request.
 * @param headerNames - The names of the headers.
 * @returns The function.
 * @internal
 */
export const createOwnResponseCheck = (id: string, headerNames: CallHeaderNames) => (headers: IncomingHttpHeaders, status: number, isFirst: boolean): boolean => {
	const foundId = getStringHeader(headers, headerNames.callId);
	const isRefusal = headers[headerNames.notRun] !== undefined || status === 421;
	return foundId === id || (foundId === undefined && isRefusal && isFirst);
};

/**
 * Creates the converter of a server without failures.
 *
 * @param context - The server and the dependencies of the converter.
 * @returns The converter.
 * @internal
 */
export function createExchangeConverter(context: ExchangeConverterContext): ExchangeConverter {
	const {lifetime, headerNames, quarantine, crashWatch} = context;
	let failureShare = 0;

	const recordOutcome = (hasFailed: boolean): void => {
		failureShare = (failureShare * (1 - failureWeight)) + (hasFailed ? failureWeight : 0);
	};

	const convertFailure = (failure: ExchangeFailure): ForwardFailure => {
		if (context.hasEnded() && !failure.isSent) {
			return sessionEndedFailure;
		}

		switch (failure.reason) {
			case 'unreachable': {
				crashWatch.checkAbandoned();
				context.handleUnreachable(lifetime, failure.detail);
				return createNotRun('server-unreachable', failure.detail, unreachableBackoffMs);
			}

			case 'connection-lost':
			case 'hung': {
				recordOutcome(true);
				return createMayHaveRun(failure.reason, failure.detail);
			}

			case 'timeout':
			case 'cancelled':
			case 'superseded':
			case 'stopping': {
				return failure.isSent ? createMayHaveRun(failure.reason, failure.detail) : createNotRun(failure.reason, failure.detail);
			}
		}
	};

	/**
	 * Converts the failure of a request whose connection was lost. A request that was running when the server crashed is not
	 * retried automatically, because a request that crashes every server would crash one server per attempt that its route allows.
	 * A request that was recently answered elsewhere is retried as usual.
	 */
	const convertLostConnection = async (id: string, fingerprint: LazyFingerprint, failure: ExchangeFailure): Promise<ForwardFailure> => {
		const isCrash = await crashWatch.recordLost({id, fingerprint});
		const converted = convertFailure(failure);
		return isCrash && quarantine.check(fingerprint).type !== 'free' ? {...converted, reason: 'server-crashed'} : converted;
	};

	const convertResponse = (response: ExchangeResponse, fingerprint: LazyFingerprint): ForwardResult => {
		if (response.status === 421) {
			// Another server has the address. It gets no requests until it has announced itself.
			context.handleMisdirected(lifetime);
			return {...createNotRun('gone', 'another backend server responds at the address'), hasArrived: true};
		}

		context.recordNotices(response.headers);
		if (response.headers[headerNames.notRun] !== undefined) {
			recordOutcome(true);
			return {...createNotRun('shed', `backend server responded with status ${response.status} and did not execute the request`), hasArrived: true};
		}

		if (response.status >= 200 && response.status < 300 && response.headers[headerNames.signature] === undefined) {
			recordOutcome(true);
			return createMayHaveRun('wrong-answer', 'successful response without the signature of a backend server');
		}

		const hasFailed = response.status >= 500;
		recordOutcome(hasFailed);
		// A failed request remains a suspect, because the server may fail it before it reaches the code that crashes.
		if (!hasFailed) {
			quarantine.recordResponse(fingerprint);
		}

		return {
			type: 'answered', status: response.status, headers: removeHopByHopHeaders(response.headers), body: response.body,
		};
	};

	return {
		async convert(id, fingerprint, result) {
			if (result.type === 'answered') {
				return convertResponse(result, fingerprint);
			}

			return result.reason === 'connection-lost' ? convertLostConnection(id, fingerprint, result) : convertFailure(result);
		},
		getFailureShare: () => failureShare,
	};
}
