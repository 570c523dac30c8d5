package org.flamingopitch.coordination.limit;

import java.time.Duration;
import java.time.Instant;

/** Lets a rate pass, with a bounded burst. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double tokensPerSecond;

    private final double burst;

    private double tokens;

    private Instant filledAt;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond the rate
     * @param burst how many tokens the bucket holds
     * @param now the current time
     */
    public TokenBucket(double tokensPerSecond, double burst, Instant now) {
        this.tokensPerSecond = tokensPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.filledAt = now;
    }

    /**
     * Takes tokens if there are enough.
     *
     * @param count how many
     * @param now the current time
     * @return whether they were taken
     */
    public boolean tryTake(double count, Instant now) {
        fill(now);
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }

    private void fill(Instant now) {
        double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        tokens = Math.min(burst, tokens + seconds * tokensPerSecond);
        filledAt = now;
    }
}
