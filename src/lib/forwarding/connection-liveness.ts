/**
 * Decides whether a connection to another node is alive, while requests are in flight and nothing arrives on it.
 *
 * @module
 */

/** What to do with the connection. @internal */
export type LivenessStep =
	| {readonly type: 'wait'}
	/** Send a `ping`. `handleWritten` is to be called once the operating system has accepted it. */
	| {readonly type: 'probe'; readonly handleWritten: () => void}
	/** Stop using the connection for new requests, and send those in flight that may be repeated elsewhere as well. */
	| {readonly type: 'unresponsive'}
	/** Close the connection, which fails its requests. */
	| {readonly type: 'lost'};

/** @internal */
export type ConnectionLiveness = {
	/** Records that bytes arrived, that the connection opened, or that a request was sent while none was in flight. In milliseconds of the steady clock. */
	readonly recordActivity: (now: number) => void;
	/** Must be called periodically while requests are in flight. `getHeardAt` returns when the other node was last heard, in milliseconds of the steady clock. */
	readonly check: (now: number, getHeardAt: () => number | undefined) => LivenessStep;
};

/** The connection is probed if nothing arrives for this long while requests are in flight. Most answers arrive sooner. */
const probeAfterQuietMs = 300;

/**
 * How long a node may take to answer a probe, counted from the first time it is heard after the probe was sent. A process that is eight times slower than usual
 * still answers in time. An earlier heartbeat does not show that the node is running: a node that pauses for a second, as small VMs do under load, sends
 * neither heartbeats nor answers, and closing its connections would fail requests that it would have answered.
 */
const pongTimeoutMs = 800;

/**
 * How long after its node was heard a connection without an answer to its probe is closed, which fails its requests. TCP, whose retransmission timeout starts at
 * 200 ms and doubles, has retransmitted four times by then. Until then, requests that may be retried are also sent elsewhere, and answers that
 * arrive are still delivered: packet loss looks like a lost connection, and closing wastes the work already done.
 */
const connectionLostMs = 3000;

/**
 * A probe that was not written after this long is queued behind a body that is sent slowly or not at all; the two cases cannot be distinguished here. The connection then
 * takes no new requests, and requests that may be retried are also sent elsewhere. It is not closed, because the body may be one that must not be sent twice.
 */
const probeWriteTimeoutMs = 2000;

/** A `ping` that checks whether the connection is alive. Times are in milliseconds of the steady clock. */
type LivenessProbe = {
	readonly queuedAt: number;
	isWritten: boolean;
	/** When a check first found the ping written. */
	writtenAt: number | undefined;
	/** When a check first found that the other node was heard after `writtenAt`. */
	nodeHeardAt: number | undefined;
};

/**
 * @returns The liveness of a connection that is being opened.
 * @internal
 */
export function createConnectionLiveness(): ConnectionLiveness {
	let quietSince = 0;
	let probe: LivenessProbe | undefined;

	const checkProbe = (sent: LivenessProbe, now: number, getHeardAt: () => number | undefined): LivenessStep => {
		if (!sent.isWritten) {
			return {type: now - sent.queuedAt > probeWriteTimeoutMs ? 'unresponsive' : 'wait'};
		}

		sent.writtenAt ??= now;
		sent.nodeHeardAt ??= (getHeardAt() ?? 0) > sent.writtenAt ? now : undefined;
		const {nodeHeardAt} = sent;
		if (nodeHeardAt === undefined || now - nodeHeardAt <= pongTimeoutMs) {
			return {type: 'wait'};
		}

		return {type: now - nodeHeardAt > connectionLostMs ? 'lost' : 'unresponsive'};
	};

	return {
		recordActivity(now) {
			quietSince = now;
			probe = undefined;
		},
		check(now, getHeardAt) {
			if (now - quietSince < probeAfterQuietMs) {
				return {type: 'wait'};
			}

			if (probe !== undefined) {
				return checkProbe(probe, now, getHeardAt);
			}

			const next: LivenessProbe = {
				queuedAt: now, isWritten: false, writtenAt: undefined, nodeHeardAt: undefined,
			};
			probe = next;
			return {
				type: 'probe',
				handleWritten() {
					next.isWritten = true;
				},
			};
		},
	};
}
