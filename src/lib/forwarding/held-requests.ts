/**
 * Keeps the slots of requests that were given up while their backend server may still work on
 * them, and releases each when a load report or its deadline allows it. The decisions are in
 * `held-slots.ts`; this module holds their state and the timer.
 *
 * @module
 */
import {clampTimerMs, readSteadyMs} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {
	getNextDeadline, releaseExpired, releaseReported, type HeldRequest, type HeldRequests as HeldRequestList, type HeldStep, type ReleaseCause,
} from '../decisions/held-slots.js';
import {type MeshLog} from '../timeline/mesh-log.js';

/** @internal */
export type HeldRequestsContext = {
	readonly server: BackendServerId;
	readonly log: MeshLog;
	/** Called with the number of held requests when it changes, before slots are released. */
	readonly handleChange: (count: number) => void;
	/** Releases the slot of a request that was given up. */
	readonly releaseSlot: () => void;
};

/** @internal */
export type HeldRequests = {
	readonly hold: (request: Omit<HeldRequest, 'heldAt'>) => void;
	/** Releases requests until at most `maxCount` are held, which the server may still have by its load report. */
	readonly applyReport: (maxCount: number) => void;
	readonly count: () => number;
	/** Logs that the late response to a request has arrived, or that its connection has ended. It was not held, and its caller releases its slot. */
	readonly recordResponse: (request: HeldRequest) => void;
	/** Releases all slots. */
	readonly releaseAll: (cause: ReleaseCause) => void;
	/** Stops the timer and releases all slots, because the server has ended. */
	readonly dispose: () => void;
};

/**
 * @param context - The server and the slots.
 * @returns The held requests of a server that has none.
 * @internal
 */
export function createHeldRequests(context: HeldRequestsContext): HeldRequests {
	let held: HeldRequestList = [];
	let isDisposed = false;
	let timer: NodeJS.Timeout | undefined;

	const logRelease = ({call, heldAt, sentAt}: HeldRequest, cause: ReleaseCause): void => {
		const now = readSteadyMs();
		context.log.record('debug', {
			kind: 'held-slot-released', call, server: context.server, reason: cause, heldMs: Math.round(now - heldAt), ageMs: Math.round(now - sentAt), stillHeld: held.length,
		});
	};

	const scheduleExpiry = (): void => {
		clearTimeout(timer);
		const deadlineAt = getNextDeadline(held);
		if (deadlineAt !== undefined && !isDisposed) {
			timer = setTimeout(() => {
				apply(releaseExpired(held, readSteadyMs()), 'deadline');
			}, clampTimerMs(deadlineAt - readSteadyMs()) + 1);
		}
	};

	const apply = (step: HeldStep, cause: ReleaseCause): void => {
		held = step.held;
		context.handleChange(held.length);
		for (const request of step.released) {
			logRelease(request, cause);
			context.releaseSlot();
		}

		scheduleExpiry();
	};

	const releaseAll = (cause: ReleaseCause): void => {
		apply({held: [], released: held}, cause);
	};

	return {
		hold(request) {
			held = [...held, {...request, heldAt: readSteadyMs()}];
			context.handleChange(held.length);
			scheduleExpiry();
		},
		applyReport(maxCount) {
			if (held.length > maxCount) {
				apply(releaseReported(held, maxCount), 'reported');
			}
		},
		count: () => held.length,
		recordResponse(request) {
			logRelease(request, 'responded');
		},
		releaseAll,
		dispose() {
			isDisposed = true;
			releaseAll('server-ended');
		},
	};
}
