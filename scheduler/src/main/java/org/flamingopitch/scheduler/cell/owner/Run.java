package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;

/** One start of a task on a worker; its room is reserved until its end is certain. */
final class Run {

    /** Figures are rough: with less slack than this a serving task may be over its target. */
    private static final double MAYBE_OVER = 1.15;

    /** With this much slack a serving task is under its target although figures are rough. */
    private static final double CLEARLY_UNDER = 1.25;

    private final Task task;

    private final WorkerState worker;

    private final int number;

    private final Instant placedAt;

    private RunPhase phase;

    private boolean recorded;

    /** Since when the worker is known to have the run, or to have refused it for good; null if neither. */
    private Instant settledAt;

    private boolean orderInFlight;

    private Instant retryAt;

    private int unanswered;

    private double percent;

    private double figure = -1;

    private Instant progressAt;

    /** Since when all figures of a serving task miss its target; null if the last one does not. */
    private Instant missedSince;

    /** Since when a serving task may be over its target, as far as rough figures tell; null if it is clearly under it. */
    private Instant pressedSince;

    /** The share at which it works; negative if the worker did not confirm the last order. */
    private int pacedTo = 100;

    private Instant pacedAt = Instant.MIN;

    Run(Task task, WorkerState worker, int number, Instant placedAt) {
        this.task = task;
        this.worker = worker;
        this.number = number;
        this.placedAt = placedAt;
        this.phase = RunPhase.PLANNED;
        this.retryAt = placedAt;
        this.progressAt = placedAt;
    }

    Task task() {
        return task;
    }

    WorkerState worker() {
        return worker;
    }

    int number() {
        return number;
    }

    Instant placedAt() {
        return placedAt;
    }

    /** Gives up its room on the worker and leaves its task. */
    void release(Instant now) {
        worker.remove(this, now);
        task.leave();
    }

    RunPhase phase() {
        return phase;
    }

    void enter(RunPhase next) {
        phase = next;
        unanswered = 0;
        retryAt = Instant.MIN;
    }

    boolean recorded() {
        return recorded;
    }

    void markRecorded() {
        recorded = true;
    }

    Instant settledAt() {
        return settledAt;
    }

    void settle(Instant at) {
        settledAt = at;
    }

    void unsettle() {
        settledAt = null;
    }

    boolean orderInFlight() {
        return orderInFlight;
    }

    void orderSent() {
        orderInFlight = true;
    }

    void orderAnswered() {
        orderInFlight = false;
    }

    void orderLost(Instant retry) {
        orderInFlight = false;
        unanswered++;
        retryAt = retry;
    }

    int unanswered() {
        return unanswered;
    }

    Instant retryAt() {
        return retryAt;
    }

    double percent() {
        return percent;
    }

    double figure() {
        return figure;
    }

    Instant progressAt() {
        return progressAt;
    }

    void observe(double newPercent, double newFigure, Instant now) {
        if (newPercent > percent || pacedTo == 0) {
            progressAt = now;
        }
        percent = newPercent;
        figure = newFigure;
        if (task.step().spec().serving() && figure > 0) {
            observeSlack(task.step().spec().targetMillis() / figure, now);
        }
    }

    /** Tells whether all figures of a serving task have missed its target for a time. */
    boolean missedFor(Duration time, Instant now) {
        return missedSince != null && !now.isBefore(missedSince.plus(time));
    }

    /** Tells whether a serving task may have been over its target for a time without a break. */
    boolean pressedFor(Duration time, Instant now) {
        return pressedSince != null && !now.isBefore(pressedSince.plus(time));
    }

    private void observeSlack(double slack, Instant now) {
        if (slack >= 1) {
            missedSince = null;
        } else if (missedSince == null) {
            missedSince = now;
        }
        if (slack >= CLEARLY_UNDER) {
            pressedSince = null;
        } else if (slack < MAYBE_OVER && pressedSince == null) {
            pressedSince = now;
        }
    }

    int pacedTo() {
        return pacedTo;
    }

    Instant pacedAt() {
        return pacedAt;
    }

    /** Returns since when it works at its present pace. */
    Instant paceSince() {
        return pacedAt.isAfter(placedAt) ? pacedAt : placedAt;
    }

    void paced(int level, Instant now) {
        worker.paceChanges(this, now);
        pacedTo = level;
        pacedAt = now;
    }

    @Override
    public String toString() {
        return task.ref() + "/" + number;
    }
}
