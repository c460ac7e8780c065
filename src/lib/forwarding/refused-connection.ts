/**
 * Checks whether an address refuses connections, which shows that no process listens there.
 *
 * @module
 */
import {connect} from 'node:net';
import {parseAddress} from '../common/address.js';
import {type Address} from '../common/ids.js';

/**
 * Checks whether an address refuses connections.
 *
 * @param address - Address at which a server listened.
 * @param timeoutMs - Milliseconds to wait for the connection attempt.
 * @returns Whether the connection was refused. `false` if it was accepted, timed out or failed otherwise.
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

		// An event loop iteration runs timers before it reads sockets. Two more iterations let a process that was busy see a refusal that has already arrived.
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
