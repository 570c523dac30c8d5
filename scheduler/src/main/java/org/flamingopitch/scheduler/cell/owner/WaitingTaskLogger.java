package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;

/**
 * Logs long-running tasks that have waited for {@link #MIN_WAIT}, and why the workers that have capacity for them are
 * not used.
 */
final class WaitingTaskLogger {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(2);

    private static final Duration MIN_WAIT = Duration.ofSeconds(2);

    /** Bounds the log volume when many tasks wait for the same reason. */
    private static final int MAX_LINES = 3;

    private final PlacementPolicy placementPolicy;

    private final WorkerHealth health;

    private Instant lastLoggedAt = Instant.MIN;

    WaitingTaskLogger(PlacementPolicy placementPolicy, WorkerHealth health) {
        this.placementPolicy = placementPolicy;
        this.health = health;
    }

    /** Logs the tasks if the interval has passed. */
    void logIfDue(Collection<Job> jobs, WorkerRegistry workerRegistry, long timeOfDayMillis, Instant now) {
        if (now.isBefore(lastLoggedAt.plus(LOG_INTERVAL))) {
            return;
        }
        lastLoggedAt = now;
        jobs.stream()
                .filter(job -> job.open() && job.spec().longRunning())
                .flatMap(job -> job.occurrences().stream())
                .flatMap(Collection::stream)
                .filter(step -> step.spec().lasting() && step.ready(timeOfDayMillis))
                .flatMap(step -> step.tasks().stream())
                .filter(task ->
                        task.waiting(now) && !now.isBefore(task.waitingSince().plus(MIN_WAIT)))
                .limit(MAX_LINES)
                .forEach(task -> log(task, workerRegistry, now));
    }

    private void log(Task task, WorkerRegistry workerRegistry, Instant now) {
        int withCapacity = 0;
        int unusable = 0;
        int quarantined = 0;
        int reserved = 0;
        for (WorkerState worker : workerRegistry.workers()) {
            boolean hasCapacity = worker.registered()
                    && placementPolicy.permits(task.step(), worker)
                    && task.step().spec().reserved().fitsInto(worker.free());
            if (hasCapacity) {
                withCapacity++;
                unusable += workerRegistry.usable(worker, now) ? 0 : 1;
                quarantined += health.quarantinedForAll(worker.id(), now) ? 1 : 0;
                reserved += worker.reservedForOther(task, now) ? 1 : 0;
            }
        }
        LOGGER.atWarning().log(
                "event=long_running_task_waits task=%s waited_ms=%d with_capacity=%d unusable=%d quarantined=%d reserved=%d",
                task.ref(),
                Duration.between(task.waitingSince(), now).toMillis(),
                withCapacity,
                unusable,
                quarantined,
                reserved);
    }
}
