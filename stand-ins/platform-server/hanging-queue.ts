/**
 * The queue of a backend server that hangs when it is full: it runs a number of requests,
 * queues some, and never responds to a request that it cannot queue, nor to any later one on
 * the connection of that request.
 *
 * @module
 */
import {type Socket} from 'node:net';

export type HangingQueueOptions = {
	/** Requests that run at the same time. */
	readonly slots: number;
	/** Requests that may wait. */
	readonly places: number;
	/** Slots that the load reports name; as many as there are if omitted. */
	readonly reportedSlots?: number;
};

/** A request that the server never responds to. */
export type HungRequest = {
	/** Unix milliseconds. */
	readonly at: number;
	readonly id: string;
	/** Whether the server lost it although there was room for it. */
	readonly isOwnFault: boolean;
	/** Whether an earlier request on its connection hung. */
	readonly isConnectionHung: boolean;
	/** When its connection was closed, in Unix milliseconds; `undefined` while it is open. */
	readonly closedAt: number | undefined;
};

export type HangingQueue = {
	/** Waits for a slot. Returns whether the request runs; `false` if the server never responds to it. */
	readonly admit: (id: string, socket: Socket) => Promise<boolean>;
	/** Ends a request that runs, also if its caller has gone. */
	readonly finish: () => void;
	/** Returns the load report: running, waiting, slots. */
	readonly report: () => string;
	/** Makes the server lose the next requests although it has room for them. */
	readonly loseNext: (count: number) => void;
	readonly hung: readonly HungRequest[];
};

/**
 * @param options - The size of the server.
 * @returns The queue of an idle server.
 */
export function createHangingQueue({slots, places, reportedSlots = slots}: HangingQueueOptions): HangingQueue {
	const hung: Array<HungRequest & {closedAt: number | undefined}> = [];
	const hungSockets = new WeakSet<Socket>();
	const waiting: Array<() => void> = [];
	let running = 0;
	let toLose = 0;

	const recordHang = (id: string, socket: Socket, isOwnFault: boolean): void => {
		const request: HungRequest & {closedAt: number | undefined} = {
			at: Date.now(), id, isOwnFault, isConnectionHung: hungSockets.has(socket), closedAt: undefined,
		};
		hung.push(request);
		socket.once('close', () => {
			request.closedAt = Date.now();
		});
		hungSockets.add(socket);
	};

	return {
		async admit(id, socket) {
			const isFull = running >= slots && waiting.length >= places;
			if (isFull || toLose > 0 || hungSockets.has(socket)) {
				const isOwnFault = !isFull && toLose > 0;
				toLose -= isOwnFault ? 1 : 0;
				recordHang(id, socket, isOwnFault);
				return false;
			}

			if (running < slots) {
				running++;
				return true;
			}

			return new Promise(resolve => {
				waiting.push(() => {
					resolve(true);
				});
			});
		},
		finish() {
			const startNext = waiting.shift();
			if (startNext === undefined) {
				running--;
			} else {
				startNext();
			}
		},
		report: () => [running, waiting.length, reportedSlots].join(','),
		loseNext(count) {
			toLose += count;
		},
		hung,
	};
}
