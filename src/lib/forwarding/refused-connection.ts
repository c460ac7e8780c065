/**
 * Asks whether anybody listens at an address.
 *
 * @module
 */
import {connect} from 'node:net';
import {parseAddress} from '../common/address.js';
import {type Address} from '../common/ids.js';

/**
 * @param address - Where a server listened.
 * @param timeoutMs - After so many milliseconds without an answer nothing is known.
 * @returns Whether a connection was refused, so that nobody listens there. `false` if one was taken, and if nothing is known.
 * @internal
 */
export async function isRefusingConnections(address: Address, timeoutMs: number): Promise<boolean> {
	const {host, port} = parseAddress(address);
	return new Promise(resolve => {
		const socket = connect({host, port});
		const finish = (isRefusing: boolean): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isRefusing);
		};

		// Timers come before what has arrived in a turn of the loop: a busy process looks at both once more.
		const timer = setTimeout(() => {
			setImmediate(() => {
				setImmediate(finish, false);
			});
		}, timeoutMs);
		socket.once('connect', () => {
			finish(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED');
		});
	});
}
