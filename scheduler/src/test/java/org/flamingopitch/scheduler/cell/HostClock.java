package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.time.Instant;

/** The monotonic clock of a simulated host, which stands still during suspensions and may run fast or slow. */
final class HostClock {

    private Duration suspendedFor = Duration.ZERO;

    private double rate = 1;

    private Instant rateSince = Instant.EPOCH;

    /** What the clock shows at {@link #rateSince}, without suspensions. */
    private Instant shownThen = Instant.EPOCH;

    Instant time(Instant now) {
        return running(now).minus(suspendedFor);
    }

    private Instant running(Instant now) {
        return shownThen.plusMillis(Math.round(Duration.between(rateSince, now).toMillis() * rate));
    }

    void addSuspension(Duration time) {
        suspendedFor = suspendedFor.plus(time);
    }

    void setRate(double newRate, Instant now) {
        shownThen = running(now);
        rateSince = now;
        rate = newRate;
    }
}
