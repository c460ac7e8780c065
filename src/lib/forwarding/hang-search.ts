/**
 * Looks for requests that the backend server will not respond to, at the moments at which
 * there may be new ones. The decisions are in `server-requests.ts`; this module holds the timer.
 *
 * @module
 */
import {clampTimerMs, readAwakeMs} from '../common/clock.js';
import {
	type Hang, type ServerRequests, type Silence, type SentRequest,
} from '../decisions/server-requests.js';

/** @internal */
export type HangSearchContext = {
	readonly requests: ServerRequests;
	/** Returns the 99th percentile of the service times in milliseconds; `undefined` if no hang is to be looked for. */
	readonly getUsualMs: () => number | undefined;
	readonly handleHang: (hang: Hang, usualMs: number) => void;
};

/** @internal */
export type HangSearch = {
	/** Schedules the next search, unless one is due sooner. `hasEvidence` tells that a response has just arrived. */
	readonly schedule: (hasEvidence: boolean) => void;
	/** Describes the evidence on a request that takes so long that it may hang; `undefined` if it does not. */
	readonly describeSilence: (request: SentRequest) => Silence & {readonly usualMs: number} | undefined;
	readonly dispose: () => void;
};

/** A request counts as hung only after this multiple of the 99th percentile of the service times. */
const hangFactor = 4;

/** No request counts as hung sooner, in milliseconds: pauses of a VM with a quarter of a core take this long. It is below the shortest latency objective of the users. */
const minHangMs = 150;

const computeThresholdMs = (usualMs: number): number => Math.max(minHangMs, usualMs * hangFactor);

/**
 * @param context - The requests, and what is done about a hang.
 * @returns The search.
 * @internal
 */
export function createHangSearch({requests, getUsualMs, handleHang}: HangSearchContext): HangSearch {
	/** When the next search is due, in milliseconds of the clock that does not advance while this VM is suspended; `undefined` if none is. */
	let searchAt: number | undefined;
	let timer: NodeJS.Timeout | undefined;

	const findHangs = (): void => {
		searchAt = undefined;
		const usualMs = getUsualMs();
		if (usualMs === undefined) {
			return;
		}

		for (const hang of requests.findHung(computeThresholdMs(usualMs), readAwakeMs())) {
			handleHang(hang, usualMs);
		}

		schedule(false);
	};

	/** Searches after the sockets have been read, so that a response that has arrived is delivered. */
	const findAfterReads = (): void => {
		setImmediate(findHangs);
	};

	const schedule = (hasEvidence: boolean): void => {
		const usualMs = getUsualMs();
		const now = readAwakeMs();
		const nextAt = usualMs === undefined ? undefined : requests.computeNextCheck(computeThresholdMs(usualMs), now, hasEvidence);
		if (nextAt === undefined || (searchAt !== undefined && searchAt <= nextAt)) {
			return;
		}

		searchAt = nextAt;
		clearTimeout(timer);
		timer = setTimeout(findAfterReads, clampTimerMs(Math.ceil(nextAt - now) + 1));
	};

	return {
		schedule,
		describeSilence(request) {
			const usualMs = getUsualMs();
			const silence = usualMs === undefined ? undefined : requests.describeSilence(request, computeThresholdMs(usualMs), readAwakeMs());
			return usualMs === undefined || silence === undefined ? undefined : {...silence, usualMs: Math.round(usualMs)};
		},
		dispose() {
			clearTimeout(timer);
		},
	};
}
