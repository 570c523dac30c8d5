package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import org.flamingopitch.scheduler.cell.port.OrderWithdrawal;
import org.flamingopitch.scheduler.cell.speculation.RunProgress;

/**
 * One start of a task on a worker. Its resources stay reserved there until the run is known to have ended.
 *
 * <p>The headroom ratio of a latency-critical run is its response time target divided by the measured tail of its
 * response times; it misses the target below 1.
 */
final class Run {

    /**
     * Below this headroom ratio a latency-critical task may miss its target, as single measurements are imprecise.
     */
    private static final double POSSIBLY_OVER_TARGET_HEADROOM = 1.15;

    /**
     * From this headroom ratio on a latency-critical task meets its target, although single measurements are
     * imprecise.
     */
    private static final double UNDER_TARGET_HEADROOM = 1.25;

    /** Throttle level of a run that a former owner may have throttled. */
    private static final int UNKNOWN_PERCENT = -1;

    private final Task task;

    private final WorkerState worker;

    private final int number;

    private final Instant placedAt;

    /** The incarnation of the worker when the run was placed, 0 if it is not known. */
    private long workerIncarnation;

    private RunPhase phase;

    private Instant phaseSince;

    /** When the first start order was sent; null before. */
    private Instant startedAt;

    /** Whether the worker is known to have had the run, or a former owner recorded it there. */
    private boolean confirmed;

    /** Whether a report has listed the run {@link CrashAttribution#SUSPICION_TIME} after its start. */
    private boolean proven;

    private boolean recorded;

    /** Whether {@link #placedAt} is the start of the run, and not the takeover after a former owner started it. */
    private boolean beginKnown = true;

    private boolean moveDeferred;

    /**
     * Since when the outcome of the last start or stop order is known: the worker has the run, has agreed to stop it,
     * or will never start it. Null while the outcome is unknown.
     */
    private Instant orderOutcomeKnownAt;

    /** Withdraws the start that has not been answered yet; null if there is none. */
    private OrderWithdrawal startInFlight;

    /** Whether a stop was sent and has not been answered yet. */
    private boolean stopInFlight;

    /** Whether a start was left unanswered and no stop has been answered since, so that it may be executed late. */
    private boolean startUnanswered;

    private Instant retryAt;

    /** The number of orders of the present phase that were lost or not answered. */
    private int unansweredOrders;

    /** How much of the task is done; 100 for a long-running task that is at work. */
    private double progressPercent;

    /**
     * The measurement in the last report: for a latency-critical task the tail of its response times in milliseconds,
     * else the processor time in use in millicores; negative if unknown.
     */
    private double measurement = -1;

    /** When the progress last rose, or the run was last seen paused. */
    private Instant progressAt;

    /** When a report last listed the run, or it was placed. */
    private Instant reportedAt;

    /** The progress from which the speed of the run is measured; negative until it is known. */
    private double basePercent = -1;

    private Instant baseAt;

    /** Since when all measurements of a latency-critical task are over its target; null if the last one is not. */
    private Instant overTargetSince;

    /**
     * Since when a latency-critical task may be over its target; null if it is not. Set below
     * {@link #POSSIBLY_OVER_TARGET_HEADROOM}, cleared from {@link #UNDER_TARGET_HEADROOM} on.
     */
    private Instant possiblyOverTargetSince;

    /**
     * The share that the run may use of its demand, 100 if not throttled; negative if the last throttle order failed.
     */
    private int throttledToPercent = 100;

    private Instant throttledAt = Instant.MIN;

    private boolean slowStart;

    Run(Task task, WorkerState worker, int number, Instant placedAt) {
        this.task = task;
        this.worker = worker;
        this.number = number;
        this.placedAt = placedAt;
        this.workerIncarnation = worker.incarnation();
        this.phase = RunPhase.PLANNED;
        this.phaseSince = placedAt;
        this.retryAt = placedAt;
        this.progressAt = placedAt;
        this.reportedAt = placedAt;
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

    /** Returns whether the run has been at work so long that it does not crash its worker. */
    boolean proven() {
        return proven;
    }

    boolean confirmed() {
        return confirmed;
    }

    /** Returns whether the worker has the run, as far as its last answers show. */
    boolean shownByWorker() {
        return phase == RunPhase.RUNNING || phase == RunPhase.STOPPING && confirmed;
    }

    void markConfirmed() {
        confirmed = true;
    }

    long workerIncarnation() {
        return workerIncarnation;
    }

    void restoreWorkerIncarnation(long incarnation) {
        workerIncarnation = incarnation;
    }

    /** Returns whether the worker has started again since the run was placed; its kind and capacity may have changed. */
    boolean placedOnFormerLife() {
        return workerIncarnation != 0 && (worker.incarnation() != workerIncarnation || worker.registeredInOtherLife());
    }

    /** Releases the resources reserved on the worker and removes this run, which has just ended, from its task. */
    void release(Instant now) {
        worker.remove(this, now);
        task.remove(this, now, now);
    }

    /**
     * Releases a run whose end no report has shown: its worker is lost or refused it. Its task counts as at work only until
     * the last report.
     */
    void releaseWithoutEnd(Instant now) {
        Instant atWorkUntil = IdleJob.Inactivity.of(this, each -> false).since(this);
        worker.remove(this, now);
        task.remove(this, now, atWorkUntil);
    }

    RunPhase phase() {
        return phase;
    }

    /** Returns when the run entered its present phase. */
    Instant phaseSince() {
        return phaseSince;
    }

    /** Enters a phase; its first order is due at once. */
    void enterPhase(RunPhase next, Instant now) {
        phase = next;
        if (next == RunPhase.RUNNING) {
            confirmed = true;
            task.job().markBegun();
        }
        if (startedAt == null && next == RunPhase.SENT) {
            startedAt = now;
            if (task.checkpoint().isEmpty()) {
                basePercent = 0;
                baseAt = now;
            }
        }
        phaseSince = now;
        unansweredOrders = 0;
        retryAt = Instant.MIN;
    }

    /** Returns whether the run's whole duration is known; it is not after a takeover. */
    boolean beginKnown() {
        return beginKnown;
    }

    void markBeginUnknown() {
        beginKnown = false;
        basePercent = -1;
    }

    boolean recorded() {
        return recorded;
    }

    void markRecorded() {
        recorded = true;
    }

    /** Records that the run is to be moved, but not yet; returns whether this is known for the first time. */
    boolean deferMove() {
        boolean first = !moveDeferred;
        moveDeferred = true;
        return first;
    }

    Instant orderOutcomeKnownAt() {
        return orderOutcomeKnownAt;
    }

    /** Records that the outcome of the last order is known. */
    void setOrderOutcomeKnown(Instant time) {
        orderOutcomeKnownAt = time;
    }

    void setOrderOutcomeUnknown() {
        orderOutcomeKnownAt = null;
    }

    /** Returns whether a start was sent and has not been answered yet. */
    boolean startInFlight() {
        return startInFlight != null;
    }

    void markStartSent(OrderWithdrawal withdrawal) {
        startInFlight = withdrawal;
    }

    void markStartAnswered() {
        startInFlight = null;
    }

    /** Withdraws the start that was sent last, if it still waits for a connection. */
    void withdrawStart() {
        if (startInFlight != null) {
            startInFlight.withdraw();
        }
    }

    boolean stopInFlight() {
        return stopInFlight;
    }

    void markStopSent() {
        stopInFlight = true;
    }

    void markStopAnswered() {
        stopInFlight = false;
    }

    void markOrderUnanswered(Instant nextRetryAt) {
        unansweredOrders++;
        retryAt = nextRetryAt;
    }

    int unansweredOrders() {
        return unansweredOrders;
    }

    void markStartUnanswered() {
        startUnanswered = true;
    }

    /** Records that the worker has answered a stop, after which it executes no start of this run. */
    void markStartsSettled() {
        startUnanswered = false;
        startInFlight = null;
    }

    /**
     * Returns whether the worker may have the run although its last start had no effect: it has reported the run, or an
     * earlier start was left unanswered.
     */
    boolean mayBeStarted() {
        return startUnanswered || phase != RunPhase.SENT;
    }

    /** Returns whether a start may still be executed by the worker, also by a later incarnation of it. */
    boolean startMayBeExecutedLate() {
        return startUnanswered || startInFlight();
    }

    /** Returns whether the run cannot be at work once the worker's process has ended, whichever process follows it. */
    boolean endsWithWorker() {
        return phase != RunPhase.PLANNED && !startMayBeExecutedLate();
    }

    Instant retryAt() {
        return retryAt;
    }

    double progressPercent() {
        return progressPercent;
    }

    double measurement() {
        return measurement;
    }

    /** Returns when the progress last rose, or the run was last seen paused. */
    Instant progressAt() {
        return progressAt;
    }

    /** Returns when a report last listed the run, or it was placed. */
    Instant reportedAt() {
        return reportedAt;
    }

    /** Returns whether reports have shown no progress for a time; a time without reports shows nothing. */
    boolean withoutProgressFor(Duration time) {
        return !reportedAt.isBefore(progressAt.plus(time));
    }

    /** Returns how long the run has lasted, and its progress since it was started or first reported. */
    RunProgress progress(Instant now) {
        boolean observed = basePercent >= 0 && progressPercent > basePercent;
        return new RunProgress(
                Duration.between(placedAt, now).toMillis(),
                progressPercent,
                observed ? progressPercent - basePercent : 0,
                observed ? Duration.between(baseAt, progressAt).toMillis() : 0,
                Duration.between(progressAt, now).toMillis());
    }

    /** Records the progress and the measurement of a worker's report. */
    void observe(double newProgressPercent, double newMeasurement, Instant now) {
        confirmed = true;
        task.job().markBegun();
        reportedAt = now;
        proven |= startedAt != null && !now.isBefore(startedAt.plus(CrashAttribution.SUSPICION_TIME));
        if (newProgressPercent > progressPercent || throttledToPercent == 0) {
            progressAt = now;
        }
        if (basePercent < 0) {
            basePercent = newProgressPercent;
            baseAt = now;
        }
        progressPercent = newProgressPercent;
        measurement = newMeasurement;
        if (task.step().spec().latencyCritical() && measurement > 0) {
            observeHeadroom(task.step().spec().targetMillis() / measurement, now);
        }
    }

    /** Returns whether all measurements of a latency-critical task have been over its target for a time. */
    boolean overTargetFor(Duration time, Instant now) {
        return overTargetSince != null && !now.isBefore(overTargetSince.plus(time));
    }

    /** Returns whether a latency-critical task may have been over its target for a time without a break. */
    boolean possiblyOverTargetFor(Duration time, Instant now) {
        return possiblyOverTargetSince != null && !now.isBefore(possiblyOverTargetSince.plus(time));
    }

    private void observeHeadroom(double headroom, Instant now) {
        if (headroom >= 1) {
            overTargetSince = null;
        } else if (overTargetSince == null) {
            overTargetSince = now;
        }
        if (headroom >= UNDER_TARGET_HEADROOM) {
            possiblyOverTargetSince = null;
        } else if (headroom < POSSIBLY_OVER_TARGET_HEADROOM && possiblyOverTargetSince == null) {
            possiblyOverTargetSince = now;
        }
    }

    /**
     * Returns the share in percent that the run may use of its demand; negative if it is unknown, since the last throttle
     * order failed or a former owner may have throttled the run.
     */
    int throttledToPercent() {
        return throttledToPercent;
    }

    /** Marks the throttle level as unknown: reports do not show it, and a former owner may have changed it. */
    void markThrottleLevelUnknown() {
        throttledToPercent = UNKNOWN_PERCENT;
    }

    /** Returns whether the run was started at the lowest speed since no worker could take it at full speed. */
    boolean slowStart() {
        return slowStart;
    }

    void markSlowStart() {
        slowStart = true;
    }

    Instant throttledAt() {
        return throttledAt;
    }

    /** Returns since when the run has had its present throttle level. */
    Instant throttleLevelSince() {
        return throttledAt.isAfter(placedAt) ? throttledAt : placedAt;
    }

    /** Records a throttle order, or with a negative share that the worker did not confirm the last one. */
    void setThrottledToPercent(int newPercent, Instant now) {
        worker.recordThrottleChange(this, now);
        throttledToPercent = newPercent;
        throttledAt = now;
    }

    @Override
    public String toString() {
        return task.ref() + "/" + number;
    }
}
