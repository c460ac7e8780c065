/**
 * Why a call that speaks for the backend server is not taken in. Whoever sent
 * it, it names no server to use, and what is held of servers stays as it is.
 *
 * @module
 */
import {type AnnouncementCause} from '../timeline/mesh-log.js';

/** @internal */
export type AnnouncementRefusal = {
	/** Refusals are counted and told by it. */
	readonly cause: AnnouncementCause;
	/** The place, what was found there and what is allowed. */
	readonly text: string;
};
