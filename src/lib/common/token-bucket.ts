/**
 * A token bucket as plain data: bounds the rate of something.
 *
 * @module
 */

/** @internal */
export type TokenBucket = {
	readonly tokens: number;
	/** Milliseconds since the epoch. */
	readonly updatedAt: number;
};

/** @internal */
export type TokenBucketLimits = {
	readonly perSecond: number;
	readonly burst: number;
};

/**
 * @param limits - The rate and the burst.
 * @param now - Milliseconds since the epoch.
 * @returns A full bucket.
 * @internal
 */
export function createTokenBucket(limits: TokenBucketLimits, now: number): TokenBucket {
	return {tokens: limits.burst, updatedAt: now};
}

/**
 * Fills the bucket up to now.
 *
 * @param bucket - The bucket as last seen.
 * @param limits - The rate and the burst.
 * @param now - Milliseconds since the epoch; an earlier time than the last adds nothing.
 * @returns The filled bucket.
 * @internal
 */
export function refillTokenBucket(bucket: TokenBucket, limits: TokenBucketLimits, now: number): TokenBucket {
	const elapsed = Math.max(0, now - bucket.updatedAt);
	return {tokens: Math.min(limits.burst, bucket.tokens + (elapsed * limits.perSecond / 1000)), updatedAt: now};
}

/**
 * Takes one token if there is one.
 *
 * @param bucket - The bucket as last seen.
 * @param limits - The rate and the burst.
 * @param now - Milliseconds since the epoch.
 * @returns The bucket afterwards, and whether a token was taken.
 * @internal
 */
export function takeToken(bucket: TokenBucket, limits: TokenBucketLimits, now: number): {readonly bucket: TokenBucket; readonly isTaken: boolean} {
	const filled = refillTokenBucket(bucket, limits, now);
	if (filled.tokens < 1) {
		return {bucket: filled, isTaken: false};
	}

	return {bucket: {...filled, tokens: filled.tokens - 1}, isTaken: true};
}
