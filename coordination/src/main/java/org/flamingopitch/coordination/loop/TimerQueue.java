package org.flamingopitch.coordination.loop;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Timers of the single-writer loop, run by the loop itself in the order of their due times. */
public final class TimerQueue {

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparingLong(Timer::sequence));

    private long sequence;

    /**
     * Adds a timer.
     *
     * @param due when it is due
     * @param action what it runs
     */
    public void add(Instant due, Runnable action) {
        sequence++;
        timers.add(new Timer(due, sequence, action));
    }

    /**
     * Runs all timers that are due; those that they add are run by a later call.
     *
     * @param now the current time
     */
    public void runDue(Instant now) {
        long lastSequence = sequence;
        while (!timers.isEmpty() && !timers.peek().due().isAfter(now)) {
            if (timers.peek().sequence() > lastSequence) {
                return;
            }
            timers.poll().action().run();
        }
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the time, if there is a timer
     */
    public Optional<Instant> nextDue() {
        return Optional.ofNullable(timers.peek()).map(Timer::due);
    }

    private record Timer(Instant due, long sequence, Runnable action) {}
}
