package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The ends of runs that one incarnation of a worker has reported. A worker repeats each end until it is acknowledged,
 * which is permitted once the record of the end is durable.
 */
final class ReportedEnds {

    /** Ends whose records are not durable yet, oldest first. */
    private final Deque<PendingEnd> pending = new ArrayDeque<>();

    /** The number of the last end that was processed; workers number their ends from 1 in each incarnation. */
    private long lastProcessed;

    private long lastDurable;

    private long lastAcknowledged;

    /** Forgets the ends of the former incarnation. */
    void reset() {
        pending.clear();
        lastProcessed = 0;
        lastDurable = 0;
        lastAcknowledged = 0;
    }

    boolean processed(long number) {
        return number <= lastProcessed;
    }

    /**
     * Records an end of a run that was reported by the worker.
     *
     * @param recordSequence the sequence number of the change in the {@link CommitLog} that stores the end
     */
    void record(long number, long recordSequence) {
        lastProcessed = number;
        pending.add(new PendingEnd(number, recordSequence));
    }

    /** Marks all ends as durable whose changes have a sequence number up to the given one. */
    void markDurableUpTo(long durableSequence) {
        while (!pending.isEmpty() && pending.peek().recordSequence() <= durableSequence) {
            lastDurable = pending.poll().number();
        }
    }

    /** Returns the number of the last end that is durable and may be acknowledged to the worker. */
    long lastDurable() {
        return lastDurable;
    }

    boolean allDurable() {
        return pending.isEmpty();
    }

    /** Returns whether a durable end has not been acknowledged yet. */
    boolean awaitAcknowledgement() {
        return lastDurable > lastAcknowledged;
    }

    void markAcknowledged(long number) {
        lastAcknowledged = Math.max(lastAcknowledged, number);
    }

    private record PendingEnd(long number, long recordSequence) {}
}
