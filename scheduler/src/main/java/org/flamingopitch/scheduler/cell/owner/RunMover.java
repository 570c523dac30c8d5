package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;

/** Moves long-running tasks off draining workers, and tasks whose run has stalled to other workers. */
final class RunMover {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * A run is stalled if it is overdue by this time (it took twice the expected duration and this time) and has made
     * no progress for this time.
     */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(2_500);

    private static final int FULL_SPEED_PERCENT = 100;

    private final WorkerOrderSender orderSender;

    private final WorkerRegistry workerRegistry;

    private final DurationEstimates estimates;

    private final WorkerHealth health;

    RunMover(
            WorkerOrderSender orderSender,
            WorkerRegistry workerRegistry,
            DurationEstimates estimates,
            WorkerHealth health) {
        this.orderSender = orderSender;
        this.workerRegistry = workerRegistry;
        this.estimates = estimates;
        this.health = health;
    }

    /** Stops a run so that its task is placed on another worker: its worker drains, or it is stalled. */
    void moveIfDrainingOrStalled(Run run, Instant now) {
        if (run.phase() != RunPhase.RUNNING || !run.task().job().open()) {
            return;
        }
        boolean longRunning = run.task().step().spec().lasting();
        if (run.worker().draining() && longRunning) {
            LOGGER.atInfo().log(
                    "event=evacuated task=%s run=%d worker=%s",
                    run.task().ref(), run.number(), run.worker().id());
            orderSender.stop(run);
            return;
        }
        Duration expected = Duration.ofMillis(2
                * estimates.expectedMillis(
                        run.task().job().queue().name(),
                        run.task().step().spec().estimateMillis()));
        boolean overdue = now.isAfter(run.placedAt().plus(expected).plus(STALL_TIMEOUT));
        boolean stalled = run.withoutProgressFor(STALL_TIMEOUT) && workerRegistry.answering(run.worker());
        boolean throttled = run.throttledToPercent() != FULL_SPEED_PERCENT;
        if (!longRunning && overdue && stalled && !throttled) {
            LOGGER.atWarning().log(
                    "event=stalled task=%s run=%d worker=%s percent=%.0f",
                    run.task().ref(), run.number(), run.worker().id(), run.progressPercent());
            run.task().avoid(run.worker().id());
            health.quarantine(run.worker().id(), now);
            orderSender.stop(run);
        }
    }
}
