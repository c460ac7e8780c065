/**
 * Table of requests that are suspected of crashing backend servers. It decides which
 * of them may run; the current time is passed in.
 *
 * After a crash, every request that was in flight at the server is a suspect. A request
 * that a server answers afterwards is cleared, so that after two or three crashes only
 * the request that crashes servers is left. Records of different nodes are merged per
 * crash; the merge is commutative and idempotent.
 *
 * @module
 */
import {getHeadPart, type Fingerprint, type HeadFingerprint} from './fingerprint.js';
import {maxCrashes, type CrashKey, type SuspectRecord} from './suspect-record.js';

/** Decision whether a request may run. @internal */
export type QuarantineDecision =
	| {readonly type: 'free'}
	/** The request may run, but only once at a time in the whole mesh, at the server that all nodes choose for it. */
	| {readonly type: 'trial'; readonly fingerprint: Fingerprint}
	| {readonly type: 'refused'; readonly fingerprint: Fingerprint; readonly crashes: number; readonly retryAfterMs: number};

/** @internal */
export type SuspectTable = {
	readonly countRecords: () => number;
	/** Returns whether a suspected request has this head, so that the body has to be compared too. */
	readonly hasHead: (head: HeadFingerprint) => boolean;
	readonly check: (fingerprint: Fingerprint, now: number) => QuarantineDecision;
	/** Records that requests were in flight when a server crashed; returns those for which this crash is new. */
	readonly recordCrash: (fingerprints: readonly Fingerprint[], crash: CrashKey, now: number) => readonly Fingerprint[];
	/** Records that a server answered a request; returns of how many crashes it was cleared. */
	readonly clear: (fingerprint: Fingerprint, now: number) => number;
	/** Returns for how many milliseconds a trial still waits after the first crash: requests that were in flight at the crash may crash another server. */
	readonly getTrialDelayMs: (fingerprint: Fingerprint, now: number) => number;
	/** Records that several callers sent a request shortly after a crash; returns whether that is new. */
	readonly recordRepeat: (fingerprint: Fingerprint, now: number) => boolean;
	/** Merges records of another node; returns the requests whose records have changed. */
	readonly merge: (records: readonly SuspectRecord[], now: number) => readonly Fingerprint[];
	readonly get: (fingerprint: Fingerprint, now: number) => SuspectRecord | undefined;
	/** Returns the quarantined requests, including the ones that may run on trial again after a long time. */
	readonly listQuarantined: (now: number) => readonly SuspectRecord[];
	/** Returns a batch of records for one message: all if they fit. Otherwise every other batch holds the records with the most crashes and the most recently changed ones, and the batches in between go through all records in order. */
	readonly listBatch: (now: number) => readonly SuspectRecord[];
};

/**
 * From this many crashes on, a request is held back for a while before the next server may run it. A crash costs a server for some
 * seconds and all requests in flight there, up to 13; holding back a request costs only that request.
 */
const holdCrashCount = 2;

/** From this many crashes on, a request is quarantined: refused until it has not been sent for a long time. */
const quarantineCrashCount = 3;

/** From this many crashes on, a request is refused as long as its record is kept: three more servers have crashed on trial. */
const permanentCrashCount = 6;

/**
 * Delay of a trial after the first crash. By its end, requests that were already in flight at the crash have reached and possibly crashed
 * another server, and a popular page has been requested again. A popular request without a response is held back immediately: its trial would most likely crash
 * a second server while the first one restarts, and most other requests would suffer from the lack of servers.
 */
const trialDelayMs = 400;

/** Time for which a request is held back after its second crash: several times the restart time of a server, so that the next crash does not hit a service that already lacks two servers. */
const holdMs = 10_000;

/** A quarantined request that was not sent for this time may run on trial again: its sender may have been fixed, and a trial costs one crash at most. */
const quarantineQuietMs = 600_000;

/** Time to live of a record with one crash. Most such requests were in flight beside the one that caused the crash, and are sent again within seconds, if at all. */
const suspectTtlMs = 60_000;

/** Time to live of the record of a request that was held back, even if it was cleared since: it may be sent again after minutes, and the store may contain it for ten more. */
const heldTtlMs = 3_600_000;

/** Largest number of records, about 60 KB. A crash adds one for each request in flight; those with the fewest crashes are evicted first. */
const maxRecords = 256;

/** Largest number of records in one message, about 900 bytes, so that the message fits into one datagram. */
const batchRecordCount = 16;

/** Shortest retry delay for a request that is held back. */
const minRetryAfterMs = 1000;

/** Retry delay for a quarantined request, which is unlikely to run soon. */
const quarantineRetryAfterMs = 60_000;

type Entry = {
	readonly fingerprint: Fingerprint;
	readonly crashes: Set<CrashKey>;
	readonly cleared: Set<CrashKey>;
	readonly repeated: Set<CrashKey>;
	/** When this node learned of the newest crash. */
	crashedAt: number;
	/** When the request was last in flight at a crash, or last refused. */
	activeAt: number;
	/** When this node last changed the record. */
	changedAt: number;
};

const unrestricted: QuarantineDecision = {type: 'free'};

function addCrashKey(keys: Set<CrashKey>, key: CrashKey): boolean {
	if (keys.has(key) || keys.size >= maxCrashes) {
		return false;
	}

	keys.add(key);
	return true;
}

/** Counts the evidence against a request: repeated requests without a response count as much as a crash. */
const countEvidence = ({crashes, repeated}: Pick<Entry, 'crashes' | 'repeated'>): number => crashes.size + repeated.size;

/** Returns whether there is, or was, enough evidence to hold back the request. */
const hasBeenHeld = (entry: Pick<Entry, 'crashes' | 'cleared' | 'repeated'>): boolean => countEvidence(entry) + entry.cleared.size >= holdCrashCount;

const getTtlMs = (entry: Entry): number => hasBeenHeld(entry) ? heldTtlMs : suspectTtlMs;

/**
 * @returns An empty table.
 * @internal
 */
export function createSuspectTable(): SuspectTable {
	const entries = new Map<Fingerprint, Entry>();
	/** Number of records per head. */
	const heads = new Map<HeadFingerprint, number>();
	/** Index of the first record of the next batch that `listBatch` takes from all records in order. */
	let nextIndex = 0;
	let isWorstNext = false;

	const drop = (fingerprint: Fingerprint): void => {
		if (!entries.delete(fingerprint)) {
			return;
		}

		const head = getHeadPart(fingerprint);
		const remaining = (heads.get(head) ?? 0) - 1;
		if (remaining > 0) {
			heads.set(head, remaining);
		} else {
			heads.delete(head);
		}
	};

	const dropExpired = (now: number): void => {
		for (const entry of entries.values()) {
			if (now - entry.activeAt > getTtlMs(entry)) {
				drop(entry.fingerprint);
			}
		}
	};

	const dropWeakest = (): void => {
		if (entries.size < maxRecords) {
			return;
		}

		const [weakest] = [...entries.values()].toSorted((left, right) => left.crashes.size - right.crashes.size || left.changedAt - right.changedAt);
		if (weakest !== undefined) {
			drop(weakest.fingerprint);
		}
	};

	const getOrCreateEntry = (fingerprint: Fingerprint, now: number): Entry => {
		const known = entries.get(fingerprint);
		if (known !== undefined) {
			return known;
		}

		dropWeakest();
		const entry: Entry = {
			fingerprint, crashes: new Set(), cleared: new Set(), repeated: new Set(), crashedAt: now, activeAt: now, changedAt: now,
		};
		entries.set(fingerprint, entry);
		const head = getHeadPart(fingerprint);
		heads.set(head, (heads.get(head) ?? 0) + 1);
		return entry;
	};

	const toRecord = ({fingerprint, activeAt, crashes, cleared, repeated}: Entry, now: number): SuspectRecord => ({
		fingerprint, quietMs: Math.max(0, now - activeAt), crashes: [...crashes], cleared: [...cleared], repeated: [...repeated],
	});

	const addCrash = (entry: Entry, crash: CrashKey, now: number): boolean => {
		if (entry.cleared.has(crash) || !addCrashKey(entry.crashes, crash)) {
			return false;
		}

		entry.crashedAt = now;
		entry.changedAt = now;
		return true;
	};

	const clearCrash = (entry: Entry, crash: CrashKey, now: number): boolean => {
		if (!addCrashKey(entry.cleared, crash)) {
			return false;
		}

		entry.crashes.delete(crash);
		entry.repeated.delete(crash);
		entry.changedAt = now;
		return true;
	};

	const addRepeat = (entry: Entry, crash: CrashKey, now: number): boolean => {
		if (entry.cleared.has(crash) || !addCrashKey(entry.repeated, crash)) {
			return false;
		}

		entry.changedAt = now;
		return true;
	};

	/** Returns whether a record of another node is worth adding. One that the other node is about to remove must not get a new time to live here. */
	const isUnexpired = ({quietMs, crashes, cleared, repeated}: SuspectRecord): boolean =>
		quietMs < (crashes.length + cleared.length + repeated.length >= holdCrashCount ? heldTtlMs : suspectTtlMs);

	const mergeRecord = (record: SuspectRecord, now: number): boolean => {
		if (!entries.has(record.fingerprint) && !isUnexpired(record)) {
			return false;
		}

		const isNew = !entries.has(record.fingerprint);
		const entry = getOrCreateEntry(record.fingerprint, now);
		const activeAt = now - record.quietMs;
		entry.activeAt = isNew ? activeAt : Math.max(entry.activeAt, activeAt);
		let isChanged = false;
		for (const crash of record.cleared) {
			isChanged = clearCrash(entry, crash, now) || isChanged;
		}

		for (const crash of record.crashes) {
			isChanged = addCrash(entry, crash, now) || isChanged;
		}

		for (const crash of record.repeated) {
			isChanged = addRepeat(entry, crash, now) || isChanged;
		}

		return isChanged;
	};

	/** Lists a batch of which half is for the requests with the most crashes, so that a node that was disconnected learns of them with the first heartbeats, and the rest for the newest records. */
	const listWorstAndNewest = (all: readonly Entry[]): readonly Entry[] => {
		const held = all.filter(entry => hasBeenHeld(entry)).toSorted((left, right) => right.crashes.size - left.crashes.size || right.changedAt - left.changedAt).slice(0, batchRecordCount / 2);
		const newest = all.toSorted((left, right) => right.changedAt - left.changedAt).filter(entry => !held.includes(entry));
		return [...held, ...newest].slice(0, batchRecordCount);
	};

	const refuse = (entry: Entry, retryAfterMs: number, now: number): QuarantineDecision => {
		entry.activeAt = now;
		return {
			type: 'refused', fingerprint: entry.fingerprint, crashes: entry.crashes.size, retryAfterMs: Math.max(minRetryAfterMs, retryAfterMs),
		};
	};

	return {
		countRecords: () => entries.size,
		hasHead: head => heads.has(head),
		check(fingerprint, now) {
			const entry = entries.get(fingerprint);
			if (entry === undefined || entry.crashes.size === 0) {
				return unrestricted;
			}

			const crashCount = entry.crashes.size;
			if (crashCount >= permanentCrashCount || (crashCount >= quarantineCrashCount && now - entry.activeAt < quarantineQuietMs)) {
				return refuse(entry, quarantineRetryAfterMs, now);
			}

			const holdLeftMs = entry.crashedAt + holdMs - now;
			return countEvidence(entry) >= holdCrashCount && holdLeftMs > 0 ? refuse(entry, holdLeftMs, now) : {type: 'trial', fingerprint};
		},
		recordCrash(fingerprints, crash, now) {
			return [...new Set(fingerprints)].filter(fingerprint => {
				const entry = getOrCreateEntry(fingerprint, now);
				entry.activeAt = now;
				return addCrash(entry, crash, now);
			});
		},
		clear(fingerprint, now) {
			const entry = entries.get(fingerprint);
			const crashes = [...entry?.crashes ?? []];
			return entry === undefined ? 0 : crashes.filter(crash => clearCrash(entry, crash, now)).length;
		},
		getTrialDelayMs(fingerprint, now) {
			const entry = entries.get(fingerprint);
			return entry === undefined || countEvidence(entry) !== 1 ? 0 : Math.max(0, entry.crashedAt + trialDelayMs - now);
		},
		recordRepeat(fingerprint, now) {
			const entry = entries.get(fingerprint);
			const crashes = [...entry?.crashes ?? []];
			return entry !== undefined && crashes.map(crash => addRepeat(entry, crash, now)).includes(true);
		},
		merge: (records, now) => records.filter(record => mergeRecord(record, now)).map(({fingerprint}) => fingerprint),
		get(fingerprint, now) {
			const entry = entries.get(fingerprint);
			return entry === undefined ? undefined : toRecord(entry, now);
		},
		listQuarantined: now => [...entries.values()].filter(({crashes}) => crashes.size >= quarantineCrashCount).map(entry => toRecord(entry, now)),
		listBatch(now) {
			dropExpired(now);
			if (entries.size <= batchRecordCount) {
				return [...entries.values()].map(entry => toRecord(entry, now));
			}

			const all = [...entries.values()];
			isWorstNext = !isWorstNext;
			if (isWorstNext) {
				return listWorstAndNewest(all).map(entry => toRecord(entry, now));
			}

			nextIndex = nextIndex >= all.length ? 0 : nextIndex;
			const batch = all.slice(nextIndex, nextIndex + batchRecordCount).map(entry => toRecord(entry, now));
			nextIndex += batchRecordCount;
			return batch;
		},
	};
}
