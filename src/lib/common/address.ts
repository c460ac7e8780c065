/**
 * Parses, checks and formats addresses. Hosts are IP addresses only: the mesh does no DNS lookups.
 *
 * @module
 */
import {isIP} from 'node:net';
import {toAddress, type Address} from './ids.js';

/** @internal */
export type HostAndPort = {readonly host: string; readonly port: number};

const maximumPort = 65_535;

/** Digits of a port. `Number` alone would also accept other texts, such as an empty one. */
const portDigits = /^(?:0|[1-9]\d{0,4})$/;

/**
 * Splits an address into host and port.
 *
 * @param address - An IP address and a port, as in `127.0.0.1:7000` or `[::1]:7000`.
 * @returns The host without brackets, and the port.
 * @internal
 */
export function parseAddress(address: Address): HostAndPort {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator).replaceAll(/[[\]]/g, ''), port: Number(address.slice(separator + 1))};
}

/**
 * Checks whether a text is an address.
 *
 * @param text - The text to check.
 * @returns Whether it is an IP address and a port.
 * @internal
 */
export function isAddress(text: string): boolean {
	const {host, port} = parseAddress(toAddress(text));
	return isIP(host) !== 0 && portDigits.test(text.slice(text.lastIndexOf(':') + 1)) && port <= maximumPort && text.includes(':');
}

/**
 * Checks whether a text is an address that can be connected to.
 *
 * @param text - The text to check.
 * @returns Whether it is an address with a port other than 0, which only requests any free port.
 * @internal
 */
export function isReachableAddress(text: string): boolean {
	return isAddress(text) && !text.endsWith(':0');
}

/**
 * Joins host and port into an address.
 *
 * @param host - An IP address.
 * @param port - A port.
 * @returns The address, with brackets around an IPv6 host.
 * @internal
 */
export function formatAddress({host, port}: HostAndPort): Address {
	return toAddress(host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`);
}
