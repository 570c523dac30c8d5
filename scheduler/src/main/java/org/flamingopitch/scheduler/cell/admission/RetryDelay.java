package org.flamingopitch.scheduler.cell.admission;

import java.time.Duration;

/**
 * Computes when the caller of a rejected job should submit it again: not before capacity is expected, and not all
 * callers of a burst at the same time, as that would be the next burst.
 */
public final class RetryDelay {

    private static final long MIN_SECONDS = 1;

    private static final long MAX_SECONDS = 8;

    /** Latest begin of the range, so that retries are also spread when the capacity is expected late. */
    private static final long MAX_BEGIN_SECONDS = 6;

    private static final long MILLIS_PER_SECOND = 1_000;

    private RetryDelay() {}

    /**
     * Returns the delay: whole seconds, as Retry-After has no smaller unit, from the time until capacity is expected to
     * twice that time.
     *
     * @param excess the time until the excess work is done
     * @param jobId the job's id, whose hash decides where in the range the delay lies
     * @return the delay
     */
    public static Duration of(Duration excess, String jobId) {
        long excessSeconds = (excess.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        long begin = Math.max(MIN_SECONDS, Math.min(MAX_BEGIN_SECONDS, excessSeconds));
        long end = Math.min(MAX_SECONDS, 2 * begin);
        return Duration.ofSeconds(begin + Math.floorMod(mix(jobId), end - begin + 1));
    }

    /** Returns a hash of which all bits depend on all characters: those of similar ids differ only in some bits. */
    private static long mix(String jobId) {
        long hash = jobId.hashCode() * 0x9E3779B97F4A7C15L;
        return hash ^ hash >>> 32;
    }
}
