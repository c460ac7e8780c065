/**
 * Samples the servers that are considered for a call, so that the cost of a choice
 * is the same for 60 servers of a service as for 600.
 *
 * @module
 */
import {estimateSlotWaitMs} from './load-view.js';
import {type Candidate} from './rank-servers.js';

/** Number of servers that are sampled from the own failure domain, and again from the others. A list of up to this length is searched completely. */
const maxSampled = 12;

/** The search of the own failure domain, or of the others, ends after this many servers with a free slot. The ranking compares three servers of the own failure domain and four of the others. */
const enoughFreeServers = 4;

/** Returns random indexes of a list, each at most once. */
function pickIndexes(length: number, random: () => number): Iterable<number> {
	return new Set(Array.from({length: maxSampled}, () => Math.floor(random() * length)));
}

/**
 * @param list - Servers of one failure domain, or of all others.
 * @param describe - Describes a server; returns `undefined` if the call must not be sent to it.
 * @param random - Returns numbers from 0 up to, but not including, 1.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns All usable servers of a short list; otherwise a random sample that ends when enough servers have a free slot.
 * @internal
 */
export function listSample<Item>(list: readonly Item[], describe: (item: Item) => Candidate | undefined, random: () => number, now: number): readonly Candidate[] {
	const found: Candidate[] = [];
	if (list.length <= maxSampled) {
		for (const item of list) {
			const candidate = describe(item);
			if (candidate !== undefined) {
				found.push(candidate);
			}
		}

		return found;
	}

	let freeServers = 0;
	for (const index of pickIndexes(list.length, random)) {
		const candidate = describe(list[index]!);
		if (candidate === undefined) {
			continue;
		}

		found.push(candidate);
		freeServers += estimateSlotWaitMs(candidate.view, candidate.slots, now) === 0 ? 1 : 0;
		if (freeServers >= enoughFreeServers) {
			break;
		}
	}

	return found;
}
