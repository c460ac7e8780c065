/**
 * Decides how a node follows a series of changes over its link. An answer of a watch holds all changes since its position, each with the whole
 * configuration, though only the last one counts. Over a slow link, such an answer would arrive later the more changes there are.
 *
 * With a configuration that takes a time T over the link, a version is in force at most `maxFollowDelayMs + 2 T` after it was written: an answer without it may
 * just have begun; the next watch starts when that answer has arrived and the delay since its beginning is over; it is given up at its second change, or after
 * `longAnswerMs` because its length shows that there is one; and a read follows, which takes T. If the store does not state the length of an answer, a time T
 * longer than `maxFollowDelayMs` counts three times.
 *
 * @module
 */
import {type ArrivingAnswer} from '../store/mesh-store.js';

/** Minimum delay between the beginning of an answer with a change and the next watch, so that several quick changes are read together. A quarter of the shortest deadline for applying a change. */
const minRewatchDelayMs = 450;

/**
 * Maximum random addition to this delay. If all nodes reopened their watches at the same moment, a stall of the store of only 200 ms could lose all of these calls,
 * and the next change would be applied only when the first watch timed out. With jitter, the first node to reopen its watch gets the change for the others.
 */
const rewatchJitterMs = 600;

/** An answer that takes less is received whole: a read in its place would cost the store a call and save little time. */
const slowAnswerMs = 100;

/** After this time, the length of an answer decides: its second change may be many seconds away. Earlier, a single change that is larger than the active configuration must not cost a read. */
const longAnswerMs = minRewatchDelayMs + rewatchJitterMs;

/** An answer with values larger than the active configuration by this factor holds several versions: those of a series are similar in size. */
const severalVersionsFactor = 1.5;

/** The part of the time until a version is in force that does not depend on the link. @internal */
export const maxFollowDelayMs = minRewatchDelayMs + rewatchJitterMs + slowAnswerMs;

/**
 * @param sinceAnswerMs - Milliseconds since the answer with a change began to arrive. The changes that came meanwhile are already read together.
 * @param randomValue - A random number from 0 up to 1.
 * @returns Milliseconds until the next watch.
 * @internal
 */
export function computeRewatchDelayMs(sinceAnswerMs: number, randomValue: number): number {
	return Math.max(0, minRewatchDelayMs + (rewatchJitterMs * randomValue) - sinceAnswerMs);
}

/**
 * @param answer - An answer of which a part has arrived.
 * @param activeBytes - Size of the active configuration; 0 if there is none.
 * @returns Whether to give it up and read the newest state, since more changes follow the first one and each takes time.
 * @internal
 */
export function shouldGiveUpAnswer({changes, elapsedMs, maxValueBytes}: ArrivingAnswer, activeBytes: number): boolean {
	if (changes > 1) {
		return elapsedMs >= slowAnswerMs;
	}

	return elapsedMs >= longAnswerMs && activeBytes > 0 && maxValueBytes !== undefined && maxValueBytes > activeBytes * severalVersionsFactor;
}

/**
 * @param receivingMs - For how many milliseconds a newer configuration has been arriving from the store.
 * @returns Whether the node is behind its link, so that it asks other nodes rather than wait.
 * @internal
 */
export function isBehindLink(receivingMs: number): boolean {
	return receivingMs >= slowAnswerMs;
}
