/**
 * Keeps a compressed copy of a large configuration in the store, for nodes that
 * start behind a slow link: the configuration itself takes most of a second
 * there, and until it has arrived the node refuses every request.
 *
 * The copy may be older than the configuration. A node that starts with it
 * learns of newer versions like any running node.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {compressText, decodeCompressedText} from '../common/compress-text.js';
import {waitFor} from '../common/clock.js';
import {FieldError} from '../common/field-error.js';
import {readCount, readList, readString} from '../common/read-input.js';
import {parseShallowJson} from '../common/parse-shallow-json.js';
import {type MeshStore} from '../store/mesh-store.js';
import {type StorePosition} from '../store/store-position.js';
import {type RefusalLog} from '../timeline/refusal-log.js';

/** @internal */
export type ConfigCopyContext = {
	readonly store: Pick<MeshStore, 'readItem' | 'commit'>;
	readonly refusals: RefusalLog;
	/** Bandwidth of this VM's link in megabits per second. */
	readonly linkMbps: number;
	/** Returns whether this node writes the copy. If several do, the last write stays. */
	readonly isWriter: () => boolean;
};

/** A configuration, and a position in the store that includes it. @internal */
export type CopiedConfig = {readonly text: string; readonly position: StorePosition};

/** @internal */
export type ConfigCopy = {
	/** Reads the copy; `undefined` if there is none, or if the link of this VM is fast enough for the configuration itself. */
	readonly read: () => Promise<CopiedConfig | undefined>;
	/** Writes the copy soon, unless another version follows or the configuration is small. */
	readonly updateSoon: (config: CopiedConfig) => void;
	readonly dispose: () => void;
};

/** Key of the copy. Not under the prefix of the mesh, whose keys nodes list often. @internal */
export const configCopyKey = 'stonemoor-config-copy';

/** Over faster links, the largest configuration of the users takes less than a tenth of a second. */
const slowLinkMbps = 50;

/** Smaller configurations are not copied: they take less than a tenth of a second over the users' slowest links. */
const minCopiedLength = 40_000;

/** Delay of a write after a change. Changes often come in quick succession, and each write costs the store a call. */
const writeDelayMs = 1000;

function encodeCopy({text, position}: CopiedConfig): string {
	return JSON.stringify([position.era, position.revision, Buffer.from(compressText(text)).toString('base64')]);
}

function decodeCopy(value: string): CopiedConfig {
	const [era, revision, compressed] = readList(parseShallowJson(value, 'copy'), 'copy');
	const text = decodeCompressedText(Buffer.from(readString(compressed, 'copy.text'), 'base64'));
	if (text.length < minCopiedLength) {
		throw new FieldError('copy.text', text.length, `a compressed text of at least ${minCopiedLength} characters`);
	}

	return {text, position: {era: readCount(era, 'copy.era'), revision: readCount(revision, 'copy.revision')}};
}

/**
 * @param context - The store, and the link of this VM.
 * @returns The copy.
 * @internal
 */
export function createConfigCopy({store, refusals, linkMbps, isWriter}: ConfigCopyContext): ConfigCopy {
	let pendingWrite = new AbortController();

	const write = async (config: CopiedConfig, signal: AbortSignal): Promise<void> => {
		await waitFor(writeDelayMs, signal);
		if (!signal.aborted && isWriter()) {
			// If the write fails, the next version is copied.
			await store.commit({expected: [], writes: [{key: configCopyKey, value: encodeCopy(config)}]});
		}
	};

	return {
		async read() {
			if (linkMbps > slowLinkMbps) {
				return undefined;
			}

			const read = await store.readItem(configCopyKey, {mayBeStale: true});
			const [item] = read.map(({items}) => items).unwrapOr([]);
			if (item === undefined) {
				return undefined;
			}

			try {
				return decodeCopy(item.value);
			} catch (error) {
				refusals.record({
					kind: 'entry-refused', cause: 'unreadable', place: configCopyKey, reason: `${(error as Error).message}; remove the entry`,
				});
				return undefined;
			}
		},
		updateSoon(config) {
			pendingWrite.abort();
			pendingWrite = new AbortController();
			if (config.text.length >= minCopiedLength) {
				void write(config, pendingWrite.signal);
			}
		},
		dispose() {
			pendingWrite.abort();
		},
	};
}
