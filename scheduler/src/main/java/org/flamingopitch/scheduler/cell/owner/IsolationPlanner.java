package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Reserves a worker for a task that may be started only in isolation: without new tasks, the runs there end or are
 * proven soon. In a full cell no worker is ever free of unproven runs otherwise.
 */
final class IsolationPlanner {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration RESERVATION_DURATION = Duration.ofSeconds(6);

    /** At most one worker of this many is reserved, so that other tasks go on. */
    private static final int WORKERS_PER_RESERVATION = 10;

    private final PlacementPolicy placementPolicy;

    IsolationPlanner(PlacementPolicy placementPolicy) {
        this.placementPolicy = placementPolicy;
    }

    /** Reserves a worker for the task, unless one is reserved for it or too many are for such tasks. */
    void reserve(Task task, Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        int reservations = 0;
        WorkerState best = null;
        int fewestRuns = Integer.MAX_VALUE;
        for (WorkerState worker : workers) {
            Task reservedFor = worker.reservedFor(now);
            if (reservedFor == task) {
                return;
            }
            if (reservedFor != null) {
                reservations += reservedFor.needsIsolation() ? 1 : 0;
            } else if (usable.test(worker) && canRun(task, worker)) {
                int runs = countRunsToWaitFor(task, worker);
                if (runs < fewestRuns) {
                    best = worker;
                    fewestRuns = runs;
                }
            }
        }
        if (best == null || reservations > workers.size() / WORKERS_PER_RESERVATION) {
            return;
        }
        best.reserveFor(task, now.plus(RESERVATION_DURATION));
        LOGGER.atInfo().log("event=isolated task=%s worker=%s runs=%d", task.ref(), best.id(), fewestRuns);
    }

    /** Returns whether the task fits when all runs that end by themselves have ended. */
    private boolean canRun(Task task, WorkerState worker) {
        Resources free = worker.free();
        for (Run run : worker.runs()) {
            if (!run.task().step().spec().lasting()) {
                free = free.plus(run.task().step().spec().reserved());
            }
        }
        return task.step().spec().reserved().fitsInto(free) && placementPolicy.permits(task.step(), worker);
    }

    private static int countRunsToWaitFor(Task task, WorkerState worker) {
        boolean fits = task.step().spec().reserved().fitsInto(worker.free());
        int count = 0;
        for (Run run : worker.runs()) {
            count += fits && run.proven() ? 0 : 1;
        }
        return count;
    }
}
