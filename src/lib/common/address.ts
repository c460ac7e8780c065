/**
 * Splits and checks addresses. Only IP numbers are used: the mesh asks no name service.
 *
 * @module
 */
import {isIP} from 'node:net';
import {toAddress, type Address} from './ids.js';

/** @internal */
export type HostAndPort = {readonly host: string; readonly port: number};

const maximumPort = 65_535;

/**
 * @param address - An IP number and a port, as in `127.0.0.1:7000` or `[::1]:7000`.
 * @returns Its parts.
 * @internal
 */
export function parseAddress(address: Address): HostAndPort {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator).replaceAll(/[[\]]/g, ''), port: Number(address.slice(separator + 1))};
}

/**
 * @param text - Perhaps an address.
 * @returns Whether it is an IP number and a port.
 * @internal
 */
export function isAddress(text: string): boolean {
	const {host, port} = parseAddress(toAddress(text));
	return isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port <= maximumPort && text.includes(':');
}

/**
 * @param host - An IP number.
 * @param port - A port.
 * @returns The address.
 * @internal
 */
export function formatAddress({host, port}: HostAndPort): Address {
	return toAddress(host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`);
}
