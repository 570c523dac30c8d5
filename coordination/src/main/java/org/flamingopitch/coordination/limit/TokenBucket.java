package org.flamingopitch.coordination.limit;

import java.time.Duration;
import java.time.Instant;

/** A token bucket: limits a rate and allows bursts up to its capacity. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double tokensPerSecond;

    private final double capacity;

    private double tokens;

    private Instant lastRefillAt;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond the refill rate
     * @param capacity how many tokens the bucket holds at most
     * @param now the current time
     */
    public TokenBucket(double tokensPerSecond, double capacity, Instant now) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.lastRefillAt = now;
    }

    /**
     * Takes tokens if the bucket holds enough.
     *
     * @param count how many tokens to take
     * @param now the current time
     * @return whether the tokens were taken
     */
    public boolean tryTake(double count, Instant now) {
        refill(now);
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }

    private void refill(Instant now) {
        double seconds = Duration.between(lastRefillAt, now).toNanos() / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        tokens = Math.min(capacity, tokens + seconds * tokensPerSecond);
        lastRefillAt = now;
    }
}
