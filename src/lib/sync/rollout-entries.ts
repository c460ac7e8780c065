/**
 * Keeps the stages of rollouts in the store, together with the status that
 * operators read. Both are written in one transaction that requires the order and
 * the previous stage to be unchanged, so of two nodes that decide differently only
 * one succeeds, and a write that takes effect late changes nothing.
 *
 * @module
 */
import {parseShallowJson} from '../common/parse-shallow-json.js';
import {
	decodeRecord, encodeRecord, isRunning, mergeRecords, type RolloutRecord,
} from '../rollout/rollout-record.js';
import {type StoreOutcome} from '../rollout/rollout-decider.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';

/** The platform's keys and formats of rollouts. @public */
export type RolloutFormat = {
	/** Prefix of the keys of orders. */
	readonly orderPrefix: string;
	/** Key at which operators read the status of a service's rollout. */
	readonly getStatusKey: (service: string) => string;
	readonly encodeStatus: (record: Pick<RolloutRecord, 'service' | 'targetVersion' | 'stage'>) => string;
};

/** @internal */
export type RolloutEntriesContext = {
	readonly store: Pick<MeshStore, 'readItem' | 'commit'>;
	readonly format: RolloutFormat;
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	readonly random: () => number;
	/** Returns the number of other nodes that are known. */
	readonly countPeers: () => number;
	readonly listRecords: () => readonly RolloutRecord[];
	readonly handleRecords: (records: readonly RolloutRecord[]) => void;
};

/** @internal */
export type RolloutEntries = {
	/** Handles the listed entries, and writes some of the missing ones. */
	readonly reconcile: (items: readonly StoreItem[]) => void;
	readonly write: (record: RolloutRecord) => Promise<StoreOutcome>;
	/** Must be called when the store was restored from a backup, since entries may be older or missing. */
	readonly handleRestored: () => void;
};

/** Prefix of the keys of stages. @internal */
export const rolloutPrefix = 'stonemoor/rollouts/';

/** Average number of nodes that write a missing entry when each node has listed the store once. Two, since one may fail. */
const expectedWriterCount = 2;

/** Maximum number of writes of one record. Each conflict but the first shows that another node has written a stage, and there are few. */
const maxWriteCount = 4;

const isSameEntry = (left: RolloutRecord, right: RolloutRecord): boolean =>
	left.stage === right.stage && left.targetVersion === right.targetVersion && left.position.revision === right.position.revision;

/** Returns whether a record may replace the stored one: it changes the stage or the order, and does not take back the end of a rollout. */
function isNews(stored: RolloutRecord | undefined, record: RolloutRecord): boolean {
	if (stored === undefined) {
		return true;
	}

	const hasEnded = !isRunning(stored) && stored.position.revision === record.position.revision;
	return !hasEnded && !isSameEntry(stored, mergeRecords(stored, record));
}

type StoredEntry = {readonly revision: number; readonly record: RolloutRecord | undefined};

const noEntry: StoredEntry = {revision: 0, record: undefined};

/**
 * @param context - The store, the formats, and the handler of records.
 * @returns The entries of rollouts.
 * @internal
 */
export function createRolloutEntries(context: RolloutEntriesContext): RolloutEntries {
	const {store, format, log, refusals, random, countPeers, listRecords, handleRecords} = context;
	/** The newest known entry of each service. */
	const entries = new Map<string, StoredEntry>();
	const getKey = (service: string): string => `${rolloutPrefix}${service}`;

	const decode = ({key, value, revision}: StoreItem): StoredEntry => {
		try {
			return {revision, record: decodeRecord(parseShallowJson(value, 'value'), 'value')};
		} catch (error) {
			refusals.record({
				kind: 'entry-refused', cause: 'unreadable', place: key, reason: `${(error as Error).message}; remove the entry`,
			});
			return {revision, record: undefined};
		}
	};

	const accept = (items: readonly StoreItem[]): void => {
		for (const item of items) {
			const service = item.key.slice(rolloutPrefix.length);
			const known = entries.get(service) ?? noEntry;
			if (item.revision >= known.revision) {
				entries.set(service, decode(item));
			}
		}

		const records = items.flatMap(({key}) => entries.get(key.slice(rolloutPrefix.length))?.record ?? []);
		if (records.length > 0) {
			handleRecords(records);
		}
	};

	const commit = async (record: RolloutRecord): Promise<StoreOutcome | 'conflict'> => {
		const {service, position} = record;
		const known = entries.get(service) ?? noEntry;
		const written = await store.commit({
			expected: [{key: `${format.orderPrefix}${service}`, revision: position.revision}, {key: getKey(service), revision: known.revision}],
			writes: [{key: getKey(service), value: JSON.stringify(encodeRecord(record))}, {key: format.getStatusKey(service), value: format.encodeStatus(record)}],
		});
		if (written.isOk()) {
			entries.set(service, {revision: written.value.revision, record});
			return 'stored';
		}

		if (written.error.type === 'conflict') {
			return 'conflict';
		}

		log.record('warn', {
			kind: 'rollout-not-stored', service, stage: record.stage, reason: written.error.reason,
		});
		return 'unavailable';
	};

	/** Reads the entry that conflicted with a write; `undefined` if the store is unavailable. */
	const readEntry = async (service: string): Promise<StoredEntry | undefined> => {
		const read = await store.readItem(getKey(service), {mayBeStale: false});
		if (read.isErr()) {
			return undefined;
		}

		entries.delete(service);
		accept(read.value.items);
		return entries.get(service) ?? noEntry;
	};

	const write = async (record: RolloutRecord): Promise<StoreOutcome> => {
		let known = entries.get(record.service) ?? noEntry;
		for (let count = 0; count < maxWriteCount; count++) {
			if (!isNews(known.record, record)) {
				return known.record !== undefined && isSameEntry(known.record, record) ? 'stored' : 'superseded';
			}

			const outcome = await commit(record);
			if (outcome !== 'conflict') {
				return outcome;
			}

			const current = await readEntry(record.service);
			if (current === undefined) {
				return 'unavailable';
			}

			if (current.revision === known.revision) {
				// The order itself has changed.
				return 'superseded';
			}

			known = current;
		}

		return 'unavailable';
	};

	const isDue = (record: RolloutRecord): boolean =>
		isNews(entries.get(record.service)?.record, record) && record.stage !== 'promoting' && random() < expectedWriterCount / (countPeers() + 1);

	return {
		write,
		handleRestored() {
			entries.clear();
		},
		reconcile(items) {
			accept(items);
			for (const record of listRecords().filter(candidate => isDue(candidate))) {
				void write(record);
			}
		},
	};
}
