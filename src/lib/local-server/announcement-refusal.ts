/**
 * The reason why an announcement or leave of a backend server is refused. A
 * refused call does not change the state of the local server.
 *
 * @module
 */
import {type AnnouncementCause} from '../timeline/mesh-log.js';

/** @internal */
export type AnnouncementRefusal = {
	/** The cause by which refusals are counted and logged. */
	readonly cause: AnnouncementCause;
	/** The field, the value found and the value expected. */
	readonly text: string;
};
