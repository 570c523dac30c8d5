package org.flamingopitch.soak;

import java.time.Clock;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The time of one soak: milliseconds since its start on a steady clock, and the time of day. */
final class Timeline {

    private final LongSupplier steadyNanos;

    private final Clock clock;

    private final long startNanos;

    Timeline(LongSupplier steadyNanos, Clock clock) {
        this.steadyNanos = steadyNanos;
        this.clock = clock;
        this.startNanos = steadyNanos.getAsLong();
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(steadyNanos.getAsLong() - startNanos);
    }

    /** Returns the time of day in milliseconds since 1970. */
    long epochMillis() {
        return clock.millis();
    }

    void pause(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }
}
