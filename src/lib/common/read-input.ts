/**
 * Reads fields of messages that come from other nodes, or from whoever else
 * writes to the addresses of this one. A message of which one field cannot be
 * used is refused whole; fields that are not known are passed over.
 *
 * @module
 */
import {isReachableAddress} from './address.js';
import {FieldError} from './field-error.js';
import {toAddress, type Address} from './ids.js';

/** Characters of a name or an id: several times the longest that platforms give. */
const maximumNameLength = 256;

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @returns The list.
 * @throws FieldError when it is none.
 * @internal
 */
export function readList(value: unknown, place: string): readonly unknown[] {
	if (!Array.isArray(value)) {
		throw new FieldError(place, value, 'a list');
	}

	return value as readonly unknown[];
}

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @returns The text, which may be empty.
 * @throws FieldError when it is none.
 * @internal
 */
export function readString(value: unknown, place: string): string {
	if (typeof value !== 'string') {
		throw new FieldError(place, value, 'a text');
	}

	return value;
}

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @returns The name.
 * @throws FieldError when it is no text, is empty or is longer than any name.
 * @internal
 */
export function readName(value: unknown, place: string): string {
	if (typeof value !== 'string' || value === '' || value.length > maximumNameLength) {
		throw new FieldError(place, value, `a text of 1 to ${maximumNameLength} characters`);
	}

	return value;
}

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @returns The number of something.
 * @throws FieldError when it is no whole number, is negative or is too large to be exact.
 * @internal
 */
export function readCount(value: unknown, place: string): number {
	if (!Number.isSafeInteger(value) || (value as number) < 0) {
		throw new FieldError(place, value, 'a whole number that is not negative');
	}

	return value as number;
}

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @param maximum - The most that is allowed.
 * @returns The amount, which may be a fraction.
 * @throws FieldError when it is no number, is negative or is more.
 * @internal
 */
export function readAmount(value: unknown, place: string, maximum: number): number {
	if (typeof value !== 'number' || !(value >= 0 && value <= maximum)) {
		throw new FieldError(place, value, `a number from 0 to ${maximum}`);
	}

	return value;
}

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @returns The address.
 * @throws FieldError when nobody could be reached there.
 * @internal
 */
export function readAddress(value: unknown, place: string): Address {
	if (typeof value !== 'string' || !isReachableAddress(value)) {
		throw new FieldError(place, value, 'an IP number and a port, as in 127.0.0.1:7001');
	}

	return toAddress(value);
}

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @returns Whether it is set.
 * @throws FieldError when it is neither 0 nor 1.
 * @internal
 */
export function readFlag(value: unknown, place: string): boolean {
	if (value !== 0 && value !== 1) {
		throw new FieldError(place, value, '0 or 1');
	}

	return value === 1;
}
