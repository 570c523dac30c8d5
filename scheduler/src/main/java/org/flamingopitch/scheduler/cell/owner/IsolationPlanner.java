package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Reserves a worker for a task that may be started only in isolation: without new tasks, the runs there end or are
 * proven soon. In a full cell no worker is ever free of unproven runs otherwise. If isolation would close the last worker
 * that is open to a job with nothing at work, the worker stays open for a short time first; the isolated tasks would
 * otherwise follow each other there without a gap, for as long as there are any.
 */
final class IsolationPlanner {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration RESERVATION_DURATION = Duration.ofSeconds(6);

    /** At most one worker of this many is reserved, so that other tasks go on. */
    private static final int WORKERS_PER_RESERVATION = 10;

    /** Covers two plans of {@link StarvedTaskPlanner}, which starts the tasks that no pass places as usual. */
    private static final Duration OPEN_TIME = Duration.ofMillis(500);

    private final PlacementPolicy placementPolicy;

    /** The steps with a waiting task of jobs that have nothing at work. */
    private List<Step> idleSteps = List.of();

    /** The workers that are not in quarantine and on which no task is isolated. */
    private List<WorkerState> openWorkers = List.of();

    /** Since when a worker has been kept open because of an idle job. */
    private final Map<WorkerState, Instant> openSince = new HashMap<>();

    IsolationPlanner(PlacementPolicy placementPolicy) {
        this.placementPolicy = placementPolicy;
    }

    /**
     * Starts a pass.
     *
     * @param newIdleSteps the steps with a waiting task, which needs no isolation, of jobs that have nothing at work
     */
    void startPass(
            List<Step> newIdleSteps, Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        idleSteps = newIdleSteps;
        openWorkers = workers.stream()
                .filter(worker ->
                        usable.test(worker) && !placementPolicy.quarantined(worker, now) && !isolates(worker, now))
                .toList();
        openSince.keySet().removeIf(worker -> !neededByIdleJob(worker));
    }

    /** Forgets which workers were kept open; no task awaits isolation. */
    void reset() {
        openSince.clear();
    }

    /**
     * Returns the tasks in the order of their turns: first one of each job that has nothing at work, since the platform
     * expects one task of a job to be at work, not all.
     */
    static List<Task> order(List<Task> tasks, Predicate<Job> idle) {
        Set<JobId> jobs = new HashSet<>();
        Set<Task> first = new HashSet<>();
        for (Task task : tasks) {
            if (idle.test(task.job()) && jobs.add(task.job().id())) {
                first.add(task);
            }
        }
        return tasks.stream()
                .sorted(Comparator.comparing((Task task) -> !first.contains(task)))
                .toList();
    }

    /** Returns whether a task may be isolated on a worker now, as far as idle jobs are concerned. */
    boolean mayClose(WorkerState worker, Instant now) {
        if (!neededByIdleJob(worker)) {
            return true;
        }
        Instant since = openSince.computeIfAbsent(worker, key -> now);
        return !now.isBefore(since.plus(OPEN_TIME));
    }

    /** Takes note that a task is isolated on a worker, which is no longer open. */
    void onClosed(WorkerState worker) {
        openSince.remove(worker);
        openWorkers = openWorkers.stream().filter(open -> open != worker).toList();
    }

    /** Returns whether a step of an idle job has room on a worker and on no other one that is open. */
    private boolean neededByIdleJob(WorkerState worker) {
        return idleSteps.stream()
                .anyMatch(step -> hasRoom(step, worker)
                        && openWorkers.stream().noneMatch(other -> other != worker && hasRoom(step, other)));
    }

    private boolean hasRoom(Step step, WorkerState worker) {
        return step.spec().reserved().fitsInto(worker.free()) && placementPolicy.permits(step, worker);
    }

    /** Returns whether a worker takes no other tasks because of one in isolation. */
    private static boolean isolates(WorkerState worker, Instant now) {
        Task reservedFor = worker.reservedFor(now);
        return reservedFor != null && reservedFor.needsIsolation() || hasIsolatedRun(worker);
    }

    private static boolean hasIsolatedRun(WorkerState worker) {
        return worker.runs().stream().anyMatch(run -> run.task().needsIsolation());
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
            } else if (usable.test(worker)
                    && !hasIsolatedRun(worker)
                    && canRun(task, worker)
                    && mayClose(worker, now)) {
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
        onClosed(best);
        LOGGER.atInfo().log(
                "event=isolated task=%s worker=%s runs=%d reservations=%d idle_steps=%d",
                task.ref(), best.id(), fewestRuns, reservations + 1, idleSteps.size());
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
