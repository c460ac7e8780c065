/**
 * A token bucket as plain data, to limit a rate.
 *
 * @module
 */

/** @internal */
export type TokenBucket = {
	readonly tokens: number;
	/** Milliseconds of the clock that the caller uses for this bucket. */
	readonly updatedAt: number;
};

/** @internal */
export type TokenBucketLimits = {
	readonly perSecond: number;
	readonly burst: number;
};

/**
 * Creates a token bucket.
 *
 * @param limits - The rate and the burst.
 * @param now - Milliseconds of any clock. All later calls for this bucket must use the same clock.
 * @returns A full bucket.
 * @internal
 */
export function createTokenBucket(limits: TokenBucketLimits, now: number): TokenBucket {
	return {tokens: limits.burst, updatedAt: now};
}

/**
 * Adds the tokens for the time since the last update.
 *
 * @param bucket - The bucket after its last update.
 * @param limits - The rate and the burst.
 * @param now - Milliseconds of the clock that the bucket was created with; a time before the last update adds nothing.
 * @returns The refilled bucket.
 * @internal
 */
export function refillTokenBucket(bucket: TokenBucket, limits: TokenBucketLimits, now: number): TokenBucket {
	const elapsed = Math.max(0, now - bucket.updatedAt);
	return {tokens: Math.min(limits.burst, bucket.tokens + (elapsed * limits.perSecond / 1000)), updatedAt: now};
}

/**
 * Takes one token if one is available.
 *
 * @param bucket - The bucket after its last update.
 * @param limits - The rate and the burst.
 * @param now - Milliseconds of the clock that the bucket was created with.
 * @returns The updated bucket, and whether a token was taken.
 * @internal
 */
export function takeToken(bucket: TokenBucket, limits: TokenBucketLimits, now: number): {readonly bucket: TokenBucket; readonly isTaken: boolean} {
	const filled = refillTokenBucket(bucket, limits, now);
	if (filled.tokens < 1) {
		return {bucket: filled, isTaken: false};
	}

	return {bucket: {...filled, tokens: filled.tokens - 1}, isTaken: true};
}
