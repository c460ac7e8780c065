/**
 * Connections to one address, one request on each at a time. A connection on
 * which anything arrives while no request is under way is never used again.
 *
 * @module
 */
import {Agent, type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/** @internal */
export type HopAgentLimits = {
	readonly maxConnections: number;
	/** Idle connections older than this are closed, in milliseconds. */
	readonly idleMs: number;
};

/** Share of the idle time that the other side allows after which a connection is closed here: a request must not cross its close. */
const idleShare = 0.6;

function readIdleHint(value: string | undefined): number | undefined {
	const seconds = /timeout=(\d+)/.exec(value ?? '')?.[1];
	return seconds === undefined ? undefined : Number(seconds) * 1000;
}

function destroyOnData(this: Socket): void {
	this.destroy();
}

/** The answer that a socket has just carried; Node.js keeps it on the socket until the next request. */
type UsedSocket = Socket & {readonly _httpMessage?: {readonly res?: {readonly headers: Readonly<Record<string, string | undefined>>}}};

/** @internal */
export class HopAgent extends Agent {
	readonly #idleMs: number;
	/** Connections that are closed after the request that they carry. */
	readonly #retired = new WeakSet<Socket>();

	constructor(limits: HopAgentLimits) {
		super({
			keepAlive: true, maxSockets: limits.maxConnections, maxFreeSockets: limits.maxConnections, scheduling: 'lifo', timeout: limits.idleMs, noDelay: true,
		});
		this.#idleMs = limits.idleMs;
	}

	/** From here on requests get new connections. What is under way on the old ones may still be answered. */
	renew(): void {
		for (const socket of Object.values(this.sockets).flatMap(sockets => sockets ?? [])) {
			this.#retired.add(socket);
		}

		for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
			socket.destroy();
		}
	}

	/** Whether a connection stays open after its answer. */
	override keepSocketAlive(socket: Socket): boolean {
		const hintMs = readIdleHint((socket as UsedSocket)._httpMessage?.res?.headers['keep-alive']);
		const idleMs = Math.min(this.#idleMs, hintMs === undefined ? this.#idleMs : hintMs * idleShare);
		if (idleMs <= 0 || socket.readableLength > 0 || this.#retired.has(socket)) {
			return false;
		}

		// Unlike the default, no keep-alive probes are set: that is four system calls a request, and idle connections are closed soon.
		socket.unref();
		socket.setTimeout(idleMs);
		socket.on('data', destroyOnData);
		return true;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		socket.removeListener('data', destroyOnData);
		super.reuseSocket(socket, request);
	}
}
