package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures the rate at which best-effort work completes. Admission uses it to estimate how long the work ahead of a
 * best-effort job takes: how much processor time such tasks get depends on what the others leave.
 */
final class CompletionRate {

    /**
     * Time over which the rate is averaged: long enough for several steps to end, short enough to follow an overload.
     */
    private static final Duration WINDOW = Duration.ofSeconds(6);

    private final Deque<CompletedWork> completed = new ArrayDeque<>();

    private final Instant startedAt;

    private long sum;

    CompletionRate(Instant startedAt) {
        this.startedAt = startedAt;
    }

    /** Adds completed work, in millicores times milliseconds. */
    void add(long work, Instant now) {
        completed.add(new CompletedWork(now, work));
        sum += work;
    }

    /**
     * Returns the work completed each millisecond, in millicores. For the part of the window before the measurement
     * began, assumes the work of the tasks that run now: a new owner would otherwise reject most jobs for seconds.
     *
     * @param runningMilliCores the processor time that running tasks use
     */
    long workPerMillisecond(long runningMilliCores, Instant now) {
        while (!completed.isEmpty() && completed.peek().endedAt().plus(WINDOW).isBefore(now)) {
            sum -= completed.poll().work();
        }
        long measuredMillis =
                Math.min(WINDOW.toMillis(), Duration.between(startedAt, now).toMillis());
        long assumedWork = runningMilliCores * (WINDOW.toMillis() - measuredMillis);
        return (sum + assumedWork) / WINDOW.toMillis();
    }

    private record CompletedWork(Instant endedAt, long work) {}
}
