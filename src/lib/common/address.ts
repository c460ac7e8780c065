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

/** What may stand for a port: what `Number` takes for one besides, such as nothing, is none. */
const portDigits = /^(?:0|[1-9]\d{0,4})$/;

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
	return isIP(host) !== 0 && portDigits.test(text.slice(text.lastIndexOf(':') + 1)) && port <= maximumPort && text.includes(':');
}

/**
 * @param text - Perhaps an address.
 * @returns Whether it is an address at which somebody may listen: port 0 only asks for any free one.
 * @internal
 */
export function isReachableAddress(text: string): boolean {
	return isAddress(text) && !text.endsWith(':0');
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
