package org.flamingopitch.coordination.api;

import java.time.Instant;

/** The time source of the operating system: the wall clock time at creation, advanced by the monotonic clock. */
public final class SystemTimeSourceClock implements TimeSource {

    private final Instant wallClockOrigin = Instant.now();

    private final long monotonicOriginNanos = System.nanoTime();

    @Override
    public Instant now() {
        long elapsedNanos = System.nanoTime() - monotonicOriginNanos;
        return wallClockOrigin.plusNanos(elapsedNanos);
    }
}
