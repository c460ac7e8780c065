/**
 * Loaded into a node process before its program: connections to the gates of other nodes lead to the links in front of
 * them. A node announces the address on which it listens, so nothing outside its process can place a link there.
 *
 * @module
 */
import {Socket} from 'node:net';
import {gatePort, peerLinkPort} from '../peer-links.js';

type ConnectOptions = {port?: number | string};

const connectDirectly = Socket.prototype.connect as (this: Socket, ...values: unknown[]) => Socket;

function connectOverLink(this: Socket, ...values: unknown[]): Socket {
	const [first] = values;
	// Within Node.js, the options come in a list with the callback.
	const options = (Array.isArray(first) ? first[0] : first) as ConnectOptions | undefined;
	if (typeof options === 'object' && Number(options.port) === gatePort) {
		options.port = peerLinkPort;
	}

	return connectDirectly.apply(this, values);
}

Socket.prototype.connect = connectOverLink;
