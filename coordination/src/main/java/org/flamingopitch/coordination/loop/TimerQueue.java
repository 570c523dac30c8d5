package org.flamingopitch.coordination.loop;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** The timers of the single-writer loop. The loop runs them itself, in order of their due times. */
public final class TimerQueue {

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparingLong(Timer::sequence));

    private long sequence;

    /**
     * Adds a timer.
     *
     * @param due the time at which the action becomes due
     * @param action the action
     */
    public void add(Instant due, Runnable action) {
        sequence++;
        timers.add(new Timer(due, sequence, action));
    }

    /**
     * Runs the due timers in order, up to the first one that was added during this call.
     *
     * @param now the current time
     */
    public void runDue(Instant now) {
        long lastSequenceBeforeRun = sequence;
        while (!timers.isEmpty() && !timers.peek().due().isAfter(now)) {
            if (timers.peek().sequence() > lastSequenceBeforeRun) {
                return;
            }
            timers.poll().action().run();
        }
    }

    /**
     * Returns the due time of the next timer.
     *
     * @return the time, empty if there is no timer
     */
    public Optional<Instant> nextDue() {
        return Optional.ofNullable(timers.peek()).map(Timer::due);
    }

    private record Timer(Instant due, long sequence, Runnable action) {}
}
