/**
 * Which requests are suspected of crashing the backend servers that run them:
 * the decision part. Time is handed in.
 *
 * One crash accuses everything that was in work at the server. What a server
 * answers afterwards is cleared, so that after two or three crashes what is left
 * is the request that no server survives. Records of different nodes are joined
 * crash by crash: in any order, and however often, the same comes out.
 *
 * @module
 */
import {getHeadPart, type Fingerprint, type HeadFingerprint} from './fingerprint.js';
import {maxCrashes, type CrashKey, type SuspectRecord} from './suspect-record.js';

/** What may be done with a request. @internal */
export type QuarantineDecision =
	| {readonly type: 'free'}
	/** One of it may run in the whole mesh, at a server that all nodes agree on. */
	| {readonly type: 'trial'; readonly fingerprint: Fingerprint}
	| {readonly type: 'refused'; readonly fingerprint: Fingerprint; readonly crashes: number; readonly retryAfterMs: number};

/** @internal */
export type SuspectTable = {
	readonly countRecords: () => number;
	/** Whether the body of a request with this head has to be looked at. */
	readonly hasHead: (head: HeadFingerprint) => boolean;
	readonly check: (fingerprint: Fingerprint, now: number) => QuarantineDecision;
	/** Takes in that requests were in work when a server crashed; yields those that are new in this. */
	readonly recordCrash: (fingerprints: readonly Fingerprint[], crash: CrashKey, now: number) => readonly Fingerprint[];
	/** Takes in that a server answered a request; yields how many crashes it was cleared of. */
	readonly clear: (fingerprint: Fingerprint, now: number) => number;
	/** Milliseconds for which a trial waits after the first crash: what was under way then may end another server. */
	readonly getTrialDelayMs: (fingerprint: Fingerprint, now: number) => number;
	/** Takes in that several callers asked for a request right after a crash; yields whether that is new. */
	readonly recordRepeat: (fingerprint: Fingerprint, now: number) => boolean;
	/** Takes in what another node knows; yields those of which more is known now. */
	readonly merge: (records: readonly SuspectRecord[], now: number) => readonly Fingerprint[];
	readonly get: (fingerprint: Fingerprint, now: number) => SuspectRecord | undefined;
	/** Requests that reached the last step and are refused or on trial after a long time. */
	readonly listQuarantined: (now: number) => readonly SuspectRecord[];
	/** A bounded part of what is known: by turns what is worst and what has changed last, and the rest in order. */
	readonly listBatch: (now: number) => readonly SuspectRecord[];
};

/**
 * From this many crashes on a request waits for a while before the next server may run it. A crash costs a server for some
 * seconds and all that is in work there, up to 13 requests; a request held back costs itself.
 */
const holdCrashCount = 2;

/** From this many crashes on it is refused until it has not been asked for in a long time. */
const quarantineCrashCount = 3;

/** From this many crashes on it is refused for as long as it is known: three more servers have ended on trial. */
const permanentCrashCount = 6;

/**
 * How long a trial waits after the first crash. Milliseconds: what was under way when the first server ended has ended the next one by then, and a page
 * that many ask for comes again. One that many ask for and nobody has answered is held back at once: its trial would most likely take
 * a second server while the first is away, and what servers are left then is what most others lose by.
 */
const trialDelayMs = 400;

/** How long a request is held back after its second crash. Milliseconds: several times what a server needs to come back, so that the next crash does not meet a service that lacks two servers already. */
const holdMs = 10_000;

/** A quarantined request that nobody has asked for in this time may be tried again. Milliseconds: whoever sent it may have been mended, and a trial costs one crash. */
const quarantineQuietMs = 600_000;

/** What was in work at one crash only is forgotten after this. Milliseconds: most of it was in work beside the guilty one, and is asked for again within seconds if at all. */
const suspectTtlMs = 60_000;

/** What was held back once is kept for this long, also when it was cleared: it may come back after minutes, and the store may name it for ten more. Milliseconds. */
const heldTtlMs = 3_600_000;

/** Records that are held at the most, some 60 kilobytes. A crash makes one for each request in work; those with the fewest crashes go first. */
const maxRecords = 256;

/** Records that one message carries at the most: some 900 bytes, so that it fits into one datagram with all else. */
const batchRecordCount = 16;

/** When a request that is held back is worth asking for again, at the least. Milliseconds. */
const minRetryAfterMs = 1000;

/** When a quarantined one is: not soon. Milliseconds. */
const quarantineRetryAfterMs = 60_000;

type Entry = {
	readonly fingerprint: Fingerprint;
	readonly crashes: Set<CrashKey>;
	readonly cleared: Set<CrashKey>;
	readonly repeated: Set<CrashKey>;
	/** When the newest of the crashes was heard of. */
	crashedAt: number;
	/** When it was last in a crash or refused. */
	activeAt: number;
	/** When anything of it changed here. */
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

/** What speaks against it: to be asked for by many without an answer is worth a crash. */
const countEvidence = ({crashes, repeated}: Pick<Entry, 'crashes' | 'repeated'>): number => crashes.size + repeated.size;

/** Whether there is, or was, enough against it to have been held back. */
const hasBeenHeld = (entry: Pick<Entry, 'crashes' | 'cleared' | 'repeated'>): boolean => countEvidence(entry) + entry.cleared.size >= holdCrashCount;

const getTtlMs = (entry: Entry): number => hasBeenHeld(entry) ? heldTtlMs : suspectTtlMs;

/**
 * @returns A ledger in which nothing is suspected.
 * @internal
 */
export function createSuspectTable(): SuspectTable {
	const entries = new Map<Fingerprint, Entry>();
	/** How many records share a head. */
	const heads = new Map<HeadFingerprint, number>();
	/** Where the next part of all begins. */
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

	/** What another node has nearly forgotten must not begin anew here. */
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

	/** Half of a part is for what crashed the most servers, so that a node that was away learns of it with the first heartbeats, the rest for what is new. */
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
