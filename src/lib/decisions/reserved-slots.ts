/**
 * Decides how many slots of a server in another failure domain a node leaves to the requests of that domain.
 *
 * The load it answers: failure domains that take turns at their peak. The overflow of one domain used to fill all slots of the others, whose own requests then had to go
 * elsewhere too, so that over a third of all requests crossed domains where a tenth had to.
 *
 * @module
 */
import {type ServerView} from './load-view.js';

/** Share of the slots that is reserved. It leaves room for the changes of the own load between two reports. */
const reservedShare = 1 / 3;

/**
 * @param slots - Concurrency limit of a server in another failure domain.
 * @param view - Its known load.
 * @returns Number of slots that are left to requests of its own failure domain; 0 if the server makes no load reports.
 * @internal
 */
export const countReservedSlots = (slots: number, {slowness}: Pick<ServerView, 'slowness'>): number => slowness === undefined ? 0 : Math.floor(slots * reservedShare);
