/**
 * Tells of crashes of backend servers through the store, one entry a crash.
 * Nodes tell one another faster. Those that a cut keeps from doing so would
 * count the crashes of each side apart, and let a request end three servers on
 * each: nodes that reach the store hold the bound together, and know after all
 * of them were killed at once.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {
	decodeCrashReport, encodeCrashReport, toSuspectRecords, type CrashReport,
} from '../quarantine/crash-report.js';
import {parseCrashKey, type CrashKey, type SuspectRecord} from '../quarantine/suspect-record.js';
import {FieldError} from '../common/field-error.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type Refusals} from '../timeline/refusals.js';
import {putLeased} from './put-leased.js';

/** @internal */
export type CrashEntriesContext = {
	readonly store: Pick<MeshStore, 'putItem' | 'grantLease' | 'listItems'>;
	readonly log: MeshLog;
	readonly refusals: Refusals;
	/** Told of what the store holds. */
	readonly handleRecords: (records: readonly SuspectRecord[]) => void;
};

/** @internal */
export type CrashEntries = {
	/** Takes the entries as they stand, and writes those of this node that are missing. */
	readonly reconcile: (items: readonly StoreItem[]) => void;
	/** Writes an entry, and looks for those of other nodes at once: the next request on trial would not wait for it. */
	readonly publish: (report: CrashReport) => Promise<void>;
	/** The store came back from a copy: what was written may be missing. */
	readonly handleRestored: () => void;
};

/** Where crashes are told. @internal */
export const crashPrefix = 'stonemoor/crashes/';

/** An entry ends after this. Milliseconds: as long as nodes remember what was in work at one crash. */
const entryTtlMs = 60_000;

/** An entry of this node. */
type OwnEntry = {readonly report: CrashReport; readonly createdAt: number; isWritten: boolean};

/**
 * @param context - The store, and who is told.
 * @returns Entries, none written yet.
 * @internal
 */
export function createCrashEntries({store, log, refusals, handleRecords}: CrashEntriesContext): CrashEntries {
	const ownEntries = new Map<CrashKey, OwnEntry>();

	const decode = ({key, value}: StoreItem): readonly SuspectRecord[] => {
		try {
			const name = key.slice(crashPrefix.length);
			const crash = parseCrashKey(name);
			if (crash === undefined) {
				throw new FieldError('key', name, 'the name of a crash');
			}

			return toSuspectRecords(decodeCrashReport(crash, value, 'value'));
		} catch (error) {
			refusals.note({
				kind: 'entry-refused', cause: 'unreadable', place: key, reason: `${(error as Error).message}; remove the entry`,
			});
			return [];
		}
	};

	const handleItems = (items: readonly StoreItem[]): void => {
		const records = items.flatMap(item => decode(item));
		if (records.length > 0) {
			handleRecords(records);
		}
	};

	const write = async (entry: OwnEntry): Promise<void> => {
		const {report} = entry;
		entry.isWritten = true;
		const put = await putLeased(store, `${crashPrefix}${report.crash}`, encodeCrashReport(report), entryTtlMs);
		if (put.isErr()) {
			entry.isWritten = false;
			log.record('warn', {kind: 'crash-not-stored', crash: report.crash, reason: put.error});
		}
	};

	const removeExpired = (now: number): void => {
		for (const [crash, {createdAt}] of ownEntries) {
			if (now - createdAt > entryTtlMs) {
				ownEntries.delete(crash);
			}
		}
	};

	return {
		reconcile(items) {
			handleItems(items);
			removeExpired(readSteadyMs());
			for (const entry of ownEntries.values()) {
				if (!entry.isWritten) {
					void write(entry);
				}
			}
		},
		async publish(report) {
			const entry: OwnEntry = {report, createdAt: readSteadyMs(), isWritten: false};
			ownEntries.set(report.crash, entry);
			await write(entry);
			const read = await store.listItems(crashPrefix, {mayBeStale: false});
			// Without an answer the next list tells.
			handleItems(read.map(({items}) => items).unwrapOr([]));
		},
		handleRestored() {
			for (const entry of ownEntries.values()) {
				entry.isWritten = false;
			}
		},
	};
}
