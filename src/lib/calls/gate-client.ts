/**
 * Sends attempts to the gates of other nodes.
 *
 * @module
 */
import {Readable} from 'node:stream';
import {Pool} from 'undici';
import {readNow} from '../common/clock.js';
import {type Address, type BackendServerId} from '../common/ids.js';
import {createConnector, type Network} from '../common/network.js';
import {parseVerdict} from '../common/verdict.js';
import {getBodyDigest} from '../quarantine/lazy-fingerprint.js';
import {type LamportClock} from '../timeline/lamport-clock.js';
import {
	createFailure, failureReasons, toFailedAttempt,
	type Attempt, type AttemptResult, type FailedAttempt, type HeaderMap,
} from './attempt.js';
import {reservePath} from './gate-server.js';
import {
	filterForwardableHeaders, getHeader, getNumberHeader, meshHeaders, timeoutHeader, toOutgoingHeaders,
} from './headers.js';

/** @internal */
export type GateClient = {
	readonly send: (address: Address, server: BackendServerId, attempt: Attempt) => Promise<AttemptResult>;
	/** Reserves a slot; resolves with its ticket, or with the failure. */
	readonly reserve: (address: Address, server: BackendServerId, attempt: Attempt) => Promise<FailedAttempt | string>;
	readonly dispose: () => Promise<void>;
};

/** Maximum number of connections from this node to one gate. */
const maximumConnectionsPerGate = 64;

const connectTimeoutMs = 1000;

/** Maximum number of gates with an open connection pool. When there are more, the pool that was opened first is closed. */
const maximumGatePools = 256;

function readFailure(headers: HeaderMap): FailedAttempt {
	const verdict = parseVerdict(getHeader(headers, meshHeaders.verdict));
	const text = getHeader(headers, meshHeaders.reason);
	const reason = failureReasons.find(candidate => candidate === text) ?? 'wrong-answer';
	const detail = decodeURIComponent(getHeader(headers, meshHeaders.detail) ?? '');
	return createFailure(verdict === 'not-run' ? 'not-run' : 'may-have-run', reason, detail, getNumberHeader(headers, meshHeaders.retryAfterMs));
}

function createMeshHeaders(server: BackendServerId, attempt: Attempt, clock: LamportClock): Readonly<Record<string, string>> {
	return {
		[meshHeaders.call]: attempt.call,
		[meshHeaders.server]: server,
		[meshHeaders.workClass]: attempt.workClass,
		[meshHeaders.eventTime]: String(clock.getTime()),
		[timeoutHeader]: String(Math.max(1, attempt.deadline - readNow())),
		...attempt.ticket === undefined ? {} : {[meshHeaders.ticket]: attempt.ticket},
		...attempt.fingerprint === undefined || attempt.fingerprint.host === '' ? {} : {[meshHeaders.routedHost]: attempt.fingerprint.host},
		...attempt.limitPerSecond === undefined ? {} : {[meshHeaders.knownLimit]: String(attempt.limitPerSecond), [meshHeaders.entry]: attempt.entry},
		...attempt.fingerprint?.hasBody ? {[meshHeaders.bodyDigest]: getBodyDigest(attempt.fingerprint)} : {},
	};
}

/**
 * Creates the client. No connection is made before the first attempt.
 *
 * @param clock - The node's Lamport clock.
 * @param network - The network through which other nodes are reached.
 * @returns The client.
 * @internal
 */
export function createGateClient(clock: LamportClock, network: Network): GateClient {
	const pools = new Map<Address, Pool>();

	const getPool = (address: Address): Pool => {
		const known = pools.get(address);
		if (known !== undefined) {
			return known;
		}

		const pool = new Pool(`http://${address}`, {
			connections: maximumConnectionsPerGate, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: createConnector(network, connectTimeoutMs),
		});
		pools.set(address, pool);
		const oldest = pools.size > maximumGatePools ? [...pools.keys()][0] : undefined;
		if (oldest !== undefined) {
			// The pool closes after its requests in flight have ended.
			void pools.get(oldest)?.close();
			pools.delete(oldest);
		}

		return pool;
	};

	const send = async (address: Address, server: BackendServerId, attempt: Attempt): Promise<AttemptResult> => {
		try {
			const response = await getPool(address).request({
				method: attempt.method,
				path: attempt.path,
				headers: toOutgoingHeaders({...attempt.headers, ...createMeshHeaders(server, attempt, clock)}),
				body: attempt.body,
				signal: attempt.signal,
			});
			// Connections carry one request at a time, so responses should not be mixed up; this check detects it if they are.
			if (getHeader(response.headers, meshHeaders.call) !== attempt.call) {
				// Destroying it is an error of the stream, which would end the process if nothing listened.
				response.body.once('error', () => undefined);
				response.body.destroy();
				return createFailure('may-have-run', 'wrong-answer', 'the gate answered a different call than the one that was sent');
			}

			if (getHeader(response.headers, meshHeaders.answeredBy) !== 'server') {
				await response.body.dump();
				return readFailure(response.headers);
			}

			return {
				type: 'answered',
				status: response.statusCode,
				headers: filterForwardableHeaders(response.headers),
				body: response.body,
				serverMicroseconds: getNumberHeader(response.headers, meshHeaders.serverMicroseconds) ?? 0,
				load: getNumberHeader(response.headers, meshHeaders.load) ?? 0,
			};
		} catch (error) {
			return toFailedAttempt(error, attempt);
		}
	};

	const reserve = async (address: Address, server: BackendServerId, attempt: Attempt): Promise<FailedAttempt | string> => {
		try {
			const response = await getPool(address).request({
				method: 'POST', path: reservePath, headers: createMeshHeaders(server, attempt, clock), signal: attempt.signal,
			});
			await response.body.dump();
			if (getHeader(response.headers, meshHeaders.call) !== attempt.call) {
				return createFailure('not-run', 'wrong-answer', 'the gate answered a different call than the one that was sent');
			}

			const ticket = getHeader(response.headers, meshHeaders.ticket);
			return response.statusCode === 200 && ticket !== undefined ? ticket : readFailure(response.headers);
		} catch (error) {
			// Only the reservation was sent, not the request, so the request cannot have been executed.
			return {...toFailedAttempt(error, attempt), verdict: 'not-run'};
		}
	};

	return {
		send,
		reserve,
		async dispose() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}

/**
 * @param body - The body of an attempt.
 * @returns Whether it can be sent only once.
 * @internal
 */
export function isStream(body: Attempt['body']): body is Readable {
	return body instanceof Readable;
}
