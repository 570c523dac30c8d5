package org.flamingopitch.scheduler.cell.locality;

import java.time.Duration;

/** Estimates how long a run still takes, from its expected duration and its reported progress. */
public final class RemainingTime {

    /** Least remaining time as a share of the expected duration: a run that has not ended takes some more time. */
    private static final double MIN_SHARE = 0.1;

    private static final double FULL_PERCENT = 100;

    private RemainingTime() {}

    /**
     * Estimates the remaining time. A run that is overdue is expected to take as much longer as it is late already,
     * since a few runs are many times slower than the rest.
     *
     * @param elapsed the time since the start of the run
     * @param expected the expected duration of a whole run
     * @param percent the reported progress, 0 if unknown
     * @param sinceProgress the time since the progress was reported
     * @return the remaining time, above zero if the expected duration is
     */
    public static Duration estimate(Duration elapsed, Duration expected, double percent, Duration sinceProgress) {
        double expectedMillis = expected.toMillis();
        double elapsedMillis = elapsed.toMillis();
        double overdueMillis = elapsedMillis - expectedMillis;
        double least = expectedMillis * MIN_SHARE;
        if (percent <= 0 || percent >= FULL_PERCENT) {
            return millis(Math.max(least, Math.abs(overdueMillis)));
        }
        double openShare = 1 - percent / FULL_PERCENT;
        double remainingMillis = expectedMillis * openShare - sinceProgress.toMillis();
        if (overdueMillis > 0) {
            double untilProgress = elapsedMillis - sinceProgress.toMillis();
            double atPresentRate = untilProgress * openShare / (1 - openShare) - sinceProgress.toMillis();
            remainingMillis = Math.max(remainingMillis, atPresentRate);
        }
        return millis(Math.max(least, remainingMillis));
    }

    private static Duration millis(double value) {
        return Duration.ofMillis(Math.round(value));
    }
}
