package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.ServiceName;

/**
 * Finds best-effort tasks that would wait for good in a cell with free capacity: each worker serves a latency-critical
 * image that they slow too much, and these tasks last. One task of such a job is started at the lowest speed, on the
 * worker where the headroom is highest. In a cell under load, capacity becomes free by itself, and slow tasks would take
 * the headroom of others, so that no task is started in this way.
 */
final class StarvedTaskPlanner {

    /** The platform expects a job to have a task at work within 3 s if there is capacity for it. */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(2);

    /** From this share of the processor time reserved on, a service counts as loaded. */
    private static final double LOADED_SHARE = 0.5;

    private static final Duration PLAN_INTERVAL = Duration.ofMillis(250);

    private final PlacementPolicy placementPolicy;

    private Instant plannedAt = Instant.MIN;

    StarvedTaskPlanner(PlacementPolicy placementPolicy) {
        this.placementPolicy = placementPolicy;
    }

    /** Returns one waiting task of each job that has had nothing at work for too long, if the interval is over. */
    List<Task> selectTasks(Collection<Job> openJobs, PlacementPass pass, long timeOfDayMillis, Instant now) {
        if (now.isBefore(plannedAt.plus(PLAN_INTERVAL))) {
            return List.of();
        }
        plannedAt = now;
        List<Task> selected = new ArrayList<>();
        for (Job job : openJobs) {
            if (!job.hasOpenRun() && !now.isBefore(idleSince(job).plus(MAX_IDLE_TIME))) {
                Task task = firstWaitingBestEffortTask(job, timeOfDayMillis, now);
                if (task != null && !loaded(job.queue().service(), pass)) {
                    selected.add(task);
                }
            }
        }
        return selected;
    }

    /** Returns the worker on which a task can run slowly and slows others least, or null if there is none. */
    PlacementCandidate chooseWorker(Task task, PlacementPass pass, Instant now) {
        PlacementCandidate best = null;
        double highestHeadroom = Double.NEGATIVE_INFINITY;
        for (PlacementCandidate candidate : pass.candidates()) {
            PlacementObstacle obstacle = placementPolicy.obstacle(task.step(), candidate);
            boolean onlyInterferes =
                    obstacle == PlacementObstacle.HEADROOM || obstacle == PlacementObstacle.UNKNOWN_INTERFERENCE;
            Task reservedFor = candidate.worker().reservedFor(now);
            boolean available = reservedFor == null || reservedFor == task;
            if (!onlyInterferes || !available || !candidate.admits(task) || hasSlowStart(candidate.worker())) {
                continue;
            }
            double headroom = candidate.predictHeadroom(task.step().spec()) - avoidance(task, candidate);
            if (headroom > highestHeadroom) {
                best = candidate;
                highestHeadroom = headroom;
            }
        }
        return best;
    }

    private static double avoidance(Task task, PlacementCandidate candidate) {
        return task.avoids(candidate.worker().id()) || candidate.quarantined()
                ? PlacementPolicy.LAST_RESORT_PENALTY
                : 0;
    }

    private static boolean hasSlowStart(WorkerState worker) {
        return worker.runs().stream().anyMatch(Run::slowStart);
    }

    /** Returns since when a job without an open run has had none. */
    private static Instant idleSince(Job job) {
        Instant latest = job.submittedAt();
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                for (Task task : step.tasks()) {
                    latest = task.waitingSince().isAfter(latest) ? task.waitingSince() : latest;
                }
            }
        }
        return latest;
    }

    private static Task firstWaitingBestEffortTask(Job job, long timeOfDayMillis, Instant now) {
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                if (!step.spec().fills() || step.done() || !step.ready(timeOfDayMillis)) {
                    continue;
                }
                for (Task task : step.tasks()) {
                    if (task.waiting(now) || task.awaitsIsolation(now)) {
                        return task;
                    }
                }
            }
        }
        return null;
    }

    private static boolean loaded(ServiceName service, PlacementPass pass) {
        long capacity = 0;
        long reserved = 0;
        for (PlacementCandidate candidate : pass.candidates()) {
            WorkerState worker = candidate.worker();
            if (worker.entry().service().equals(service)) {
                capacity += worker.entry().capacity().milliCores();
                reserved += worker.reserved().milliCores();
            }
        }
        return reserved >= LOADED_SHARE * capacity;
    }
}
