package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.ServiceName;

/**
 * Finds short tasks that would wait for good in a cell with free capacity: each worker that permits them serves a
 * latency-critical image that they slow too much, has its unused processor time demanded by other best-effort tasks, or
 * is in quarantine. One task of such a job is started on the worker where it does least harm, a best-effort task at the
 * lowest speed at first. In a cell under load, capacity becomes free by itself, and slow tasks would take the headroom of others,
 * so that no task is started in this way.
 */
final class StarvedTaskPlanner {

    private static final Duration PLAN_INTERVAL = Duration.ofMillis(250);

    /** What keeps a task off a worker that it can run on nevertheless. */
    private static final Set<PlacementObstacle> LIFTED_OBSTACLES = EnumSet.of(
            PlacementObstacle.HEADROOM,
            PlacementObstacle.UNKNOWN_INTERFERENCE,
            PlacementObstacle.PROCESSOR_TIME,
            PlacementObstacle.TRIAL);

    private final PlacementPolicy placementPolicy;

    /** Returns whether the last call to a worker was answered. */
    private final Predicate<WorkerState> answering;

    /** The start of this ownership; when runs of a former owner ended is not known. */
    private final Instant observedSince;

    /** The jobs whose last task was started by this planner; they do not wait again for the next one. */
    private final Set<JobId> servedJobs = new HashSet<>();

    /** The last run that was started for each job by this planner, while it is open. */
    private final Map<JobId, Run> openStarts = new HashMap<>();

    private Instant plannedAt = Instant.MIN;

    StarvedTaskPlanner(PlacementPolicy placementPolicy, Predicate<WorkerState> answering, Instant observedSince) {
        this.placementPolicy = placementPolicy;
        this.answering = answering;
        this.observedSince = observedSince;
    }

    /**
     * Returns a waiting task of each ready step of the jobs that have had nothing at work for too long, if the interval
     * is over.
     */
    List<Task> selectTasks(Collection<Job> openJobs, PlacementPass pass, long timeOfDayMillis, Instant now) {
        if (now.isBefore(plannedAt.plus(PLAN_INTERVAL))) {
            return List.of();
        }
        plannedAt = now;
        List<Task> selected = new ArrayList<>();
        Map<ServiceName, Boolean> loadedServices = new HashMap<>();
        Set<JobId> stillServed = new HashSet<>();
        openStarts.values().removeIf(run -> !run.task().hasRun(run));
        for (Job job : openJobs) {
            boolean served = servedJobs.contains(job.id()) && !hasUsualRun(job, now);
            if (served) {
                stillServed.add(job.id());
            }
            boolean loaded = loadedServices.computeIfAbsent(
                    job.queue().service(), service -> ServiceLoad.high(service, pass, answering, now));
            if (!loaded && mayStart(job, now) && (served || idleForLong(job, timeOfDayMillis, now))) {
                waitingShortTasks(job, timeOfDayMillis, now).stream()
                        .filter(task -> pass.candidates().stream().anyMatch(candidate -> mayFollow(task, candidate)))
                        .forEach(selected::add);
            }
        }
        servedJobs.retainAll(stillServed);
        return selected;
    }

    /** Takes note that a selected task was started. */
    void onStarted(Task task) {
        servedJobs.add(task.job().id());
        if (task.run() != null) {
            openStarts.put(task.job().id(), task.run());
        }
    }

    /**
     * Returns whether a task of the job may be started although others have open runs: none of these is at work, and the
     * last one that this planner started is on a worker that does not answer, or has been paused for long. The last case
     * permits only workers on which the task is not expected to be paused as well, so that slow tasks do not multiply.
     */
    boolean mayStart(Job job, Instant now) {
        Run pending = pendingStart(job);
        boolean mayFollow = pending == null || pausedForLong(pending, now);
        return mayFollow && openRuns(job).noneMatch(run -> atWorkOrSoon(run, now));
    }

    /** Returns the last run that this planner started for a job if it is open on a worker that answers, else null. */
    private Run pendingStart(Job job) {
        Run run = openStarts.get(job.id());
        return run != null && answering.test(run.worker()) ? run : null;
    }

    private static boolean pausedForLong(Run run, Instant now) {
        return run.throttledToPercent() == 0 && !now.isBefore(run.throttledAt().plus(IdleJob.NOTICEABLE_TIME));
    }

    /** Returns whether a task may start on a worker although the last one that was started for its job is paused. */
    private boolean mayFollow(Task task, PlacementCandidate candidate) {
        Run pending = pendingStart(task.job());
        return pending == null
                || candidate.worker() != pending.worker()
                        && candidate.predictHeadroom(task.step().spec(), ThrottleController.LOWEST_SPEED_PERCENT)
                                >= ThrottleController.TARGET_HEADROOM;
    }

    /** Returns whether a run of the job was placed as usual and is at work, so that the job is no longer starved. */
    private boolean hasUsualRun(Job job, Instant now) {
        return openRuns(job).anyMatch(run -> !run.slowStart() && atWorkOrSoon(run, now));
    }

    private static Stream<Run> openRuns(Job job) {
        return job.occurrences().stream()
                .flatMap(List::stream)
                .flatMap(step -> step.tasks().stream())
                .flatMap(task -> task.runs().stream());
    }

    /** Returns whether a run is at work, or has not been for a time in which a report of it may still be missing. */
    private boolean atWorkOrSoon(Run run, Instant now) {
        IdleJob.Inactivity inactivity = IdleJob.Inactivity.of(run, answering);
        if (inactivity == null || inactivity == IdleJob.Inactivity.PLANNED) {
            return true;
        }
        Instant since = inactivity.since(run);
        Instant inactiveSince = since.isAfter(run.phaseSince()) ? since : run.phaseSince();
        return now.isBefore(inactiveSince.plus(IdleJob.NOTICEABLE_TIME));
    }

    /** Returns the worker on which a task can run in spite of an obstacle and does least harm, or null if there is none. */
    PlacementCandidate chooseWorker(Task task, PlacementPass pass, Instant now) {
        return pass.candidates().stream()
                .filter(candidate -> canRun(task, candidate, now))
                .min(Comparator.comparing((PlacementCandidate candidate) -> lastResort(task, candidate))
                        .thenComparing(candidate -> interferes(task, candidate))
                        .thenComparingLong(StarvedTaskPlanner::countSlowStarts)
                        .thenComparingDouble(candidate ->
                                -candidate.predictHeadroom(task.step().spec())))
                .orElse(null);
    }

    private boolean canRun(Task task, PlacementCandidate candidate, Instant now) {
        PlacementObstacle obstacle = placementPolicy.obstacle(task.step(), candidate);
        boolean lifted =
                LIFTED_OBSTACLES.contains(obstacle) || candidate.quarantined() && obstacle == PlacementObstacle.NONE;
        return lifted
                && mayFollow(task, candidate)
                && !StarvedTaskReservation.keepsOff(candidate.worker(), task, now)
                && candidate.admits(task);
    }

    private static boolean lastResort(Task task, PlacementCandidate candidate) {
        return task.avoids(candidate.worker().id()) || candidate.quarantined();
    }

    private static boolean interferes(Task task, PlacementCandidate candidate) {
        return candidate.predictHeadroom(task.step().spec()) < ThrottleController.TARGET_HEADROOM;
    }

    private static long countSlowStarts(PlacementCandidate candidate) {
        return candidate.worker().runs().stream().filter(Run::slowStart).count();
    }

    private boolean idleForLong(Job job, long timeOfDayMillis, Instant now) {
        IdleJob idle = IdleJob.of(job, answering, observedSince, timeOfDayMillis, now);
        return idle != null && idle.noticeable();
    }

    private static List<Task> waitingShortTasks(Job job, long timeOfDayMillis, Instant now) {
        List<Task> tasks = new ArrayList<>();
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                if (!step.spec().lasting() && !step.done() && step.ready(timeOfDayMillis)) {
                    step.tasks().stream()
                            .filter(task -> task.waiting(now) || task.awaitsIsolation(now))
                            .findFirst()
                            .ifPresent(tasks::add);
                }
            }
        }
        return tasks;
    }
}
