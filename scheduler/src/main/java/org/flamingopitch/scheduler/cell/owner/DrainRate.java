package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Measures how much work ends a second, for the answer to a caller how long the work before its job will take. */
final class DrainRate {

    /** Long enough for some steps of jobs to end, short enough to follow a flood. */
    private static final Duration WINDOW = Duration.ofSeconds(6);

    private final Deque<Portion> portions = new ArrayDeque<>();

    private long sum;

    /** Notes work that ended, in thousandths of a core times milliseconds. */
    void add(long work, Instant now) {
        portions.add(new Portion(now, work));
        sum += work;
    }

    /** Returns the work that ends each millisecond, in thousandths of a core. */
    long perMilli(Instant now) {
        while (!portions.isEmpty() && portions.peek().endedAt().plus(WINDOW).isBefore(now)) {
            sum -= portions.poll().work();
        }
        return sum / WINDOW.toMillis();
    }

    private record Portion(Instant endedAt, long work) {}
}
