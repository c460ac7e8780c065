/**
 * Reads fields of messages from other nodes, or from any other process that
 * sends to the addresses of this node. A message with one invalid field is
 * refused as a whole; unknown fields are ignored.
 *
 * @module
 */
import {isReachableAddress} from './address.js';
import {FieldError} from './field-error.js';
import {toAddress, type Address} from './ids.js';

/** Longest name or id in characters: several times the longest that platforms assign. */
const maximumNameLength = 256;

/**
 * Reads a list.
 *
 * @param value - Any JSON value.
 * @param place - The place of the value, for the error.
 * @returns The list.
 * @throws FieldError if the value is not a list.
 * @internal
 */
export function readList(value: unknown, place: string): readonly unknown[] {
	if (!Array.isArray(value)) {
		throw new FieldError(place, value, 'a list');
	}

	return value as readonly unknown[];
}

/**
 * Reads a string.
 *
 * @param value - Any JSON value.
 * @param place - The place of the value, for the error.
 * @returns The string, which may be empty.
 * @throws FieldError if the value is not a string.
 * @internal
 */
export function readString(value: unknown, place: string): string {
	if (typeof value !== 'string') {
		throw new FieldError(place, value, 'a string');
	}

	return value;
}

/**
 * Reads a name or an id.
 *
 * @param value - Any JSON value.
 * @param place - The place of the value, for the error.
 * @returns The name.
 * @throws FieldError if the value is not a string, is empty or is too long for a name.
 * @internal
 */
export function readName(value: unknown, place: string): string {
	if (typeof value !== 'string' || value === '' || value.length > maximumNameLength) {
		throw new FieldError(place, value, `a string of 1 to ${maximumNameLength} characters`);
	}

	return value;
}

/**
 * Reads a count.
 *
 * @param value - Any JSON value.
 * @param place - The place of the value, for the error.
 * @returns The count.
 * @throws FieldError if the value is not an integer, is negative or is not a safe integer.
 * @internal
 */
export function readCount(value: unknown, place: string): number {
	if (!Number.isSafeInteger(value) || (value as number) < 0) {
		throw new FieldError(place, value, 'a non-negative integer');
	}

	return value as number;
}

/**
 * Reads a number with an upper bound.
 *
 * @param value - Any JSON value.
 * @param place - The place of the value, for the error.
 * @param maximum - The largest value that is allowed.
 * @returns The number, which may be a fraction.
 * @throws FieldError if the value is not a number, is negative or exceeds the maximum.
 * @internal
 */
export function readAmount(value: unknown, place: string, maximum: number): number {
	if (typeof value !== 'number' || !(value >= 0 && value <= maximum)) {
		throw new FieldError(place, value, `a number from 0 to ${maximum}`);
	}

	return value;
}

/**
 * Reads an address.
 *
 * @param value - Any JSON value.
 * @param place - The place of the value, for the error.
 * @returns The address.
 * @throws FieldError if the value is not an IP address and a port other than 0.
 * @internal
 */
export function readAddress(value: unknown, place: string): Address {
	if (typeof value !== 'string' || !isReachableAddress(value)) {
		throw new FieldError(place, value, 'an IP address and a port, as in 127.0.0.1:7001');
	}

	return toAddress(value);
}

/**
 * Reads a flag.
 *
 * @param value - Any JSON value.
 * @param place - The place of the value, for the error.
 * @returns Whether the flag is set.
 * @throws FieldError if the value is neither 0 nor 1.
 * @internal
 */
export function readFlag(value: unknown, place: string): boolean {
	if (value !== 0 && value !== 1) {
		throw new FieldError(place, value, '0 or 1');
	}

	return value === 1;
}
