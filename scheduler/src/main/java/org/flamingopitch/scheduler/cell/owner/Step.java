package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.disruption.StepAvailability;
import org.flamingopitch.scheduler.cell.locality.GroupRack;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** A step of one occurrence of an open job, with its tasks. */
final class Step {

    /** Time constant that smooths imprecise single measurements; the load itself changes over seconds. */
    private static final Duration HEADROOM_SMOOTHING_TIME = Duration.ofMillis(400);

    /** Fewer durations do not tell what is usual in a step. */
    private static final int MIN_DURATIONS = 3;

    private final Job job;

    private final int occurrence;

    private final int index;

    private final StepSpec spec;

    private final List<Task> tasks = new ArrayList<>();

    private int doneCount;

    /** The durations of completed runs, ascending; of steps that permit copies only. */
    private final List<Long> durations = new ArrayList<>();

    /** Smoothed headroom ratio without best-effort tasks on the worker; valid if {@link #headroomAloneAt} is set. */
    private double headroomAlone;

    private Instant headroomAloneAt;

    /** The rack of the tasks of a step with {@link StepSpec#sameRack()}; null before the first placement. */
    private GroupRack groupRack;

    Step(Job job, int occurrence, int index, StepSpec spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.index = index;
        this.spec = spec;
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new Task(this, new TaskRef(job.id(), occurrence, index, i)));
        }
    }

    Job job() {
        return job;
    }

    int occurrence() {
        return occurrence;
    }

    int index() {
        return index;
    }

    StepSpec spec() {
        return spec;
    }

    List<Task> tasks() {
        return tasks;
    }

    void incrementDoneCount() {
        doneCount++;
    }

    boolean done() {
        return doneCount >= tasks.size();
    }

    GroupRack groupRack() {
        return groupRack;
    }

    void setGroupRack(GroupRack newGroupRack) {
        groupRack = newGroupRack;
    }

    /** Returns whether the headroom ratio without best-effort tasks was updated within the given time. */
    boolean headroomAloneKnown(Duration validity, Instant now) {
        return headroomAloneAt != null && now.isBefore(headroomAloneAt.plus(validity));
    }

    /**
     * Returns the headroom ratio (response time target divided by the measured tail) that the step's tasks would have
     * without best-effort tasks on their workers.
     */
    double headroomAlone() {
        return headroomAlone;
    }

    /** Updates the smoothed headroom ratio without best-effort tasks with one observation. */
    void observeHeadroomAlone(double headroom, Instant now) {
        double weight = 1;
        if (headroomAloneAt != null) {
            double elapsedMillis = Duration.between(headroomAloneAt, now).toMillis();
            weight = 1 - Math.exp(-elapsedMillis / HEADROOM_SMOOTHING_TIME.toMillis());
        }
        headroomAlone += weight * (headroom - headroomAlone);
        headroomAloneAt = now;
    }

    /**
     * Counts the long-running tasks that are not at work.
     *
     * @param answering whether a worker answers; without answers it is unknown whether its tasks are at work
     */
    StepAvailability availability(Predicate<WorkerState> answering) {
        int unavailable = 0;
        int unreported = 0;
        for (Task task : tasks) {
            boolean atWork = task.atWork() && answering.test(task.run().worker());
            unavailable += atWork ? 0 : 1;
            unreported += task.awaitsFirstReport() ? 1 : 0;
        }
        return new StepAvailability(unavailable, unreported, spec.maxUnavailable());
    }

    int remainingCount() {
        return Math.max(0, tasks.size() - doneCount);
    }

    /** Returns whether the tasks may start: the occurrence is due and all preceding steps are done. */
    boolean ready(long timeOfDayMillis) {
        if (timeOfDayMillis < job.scheduledStartMillis(occurrence)) {
            return false;
        }
        for (int predecessor : spec.after()) {
            if (!job.step(occurrence, predecessor).done()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a copy of a task may run beside it. Best-effort tasks are slow because others are served, and a
     * copy on another rack would slow a whole group.
     */
    boolean permitsCopies() {
        return spec.speculative() && !spec.lasting() && !spec.fills() && !spec.sameRack();
    }

    /** Adds the duration of the run that completed a task. */
    void recordDuration(long millis) {
        if (permitsCopies()) {
            int index = Collections.binarySearch(durations, millis);
            durations.add(index < 0 ? -index - 1 : index, millis);
        }
    }

    /** Returns the durations of the runs that completed a task, ascending; none if the step permits no copies. */
    List<Long> durations() {
        return durations;
    }

    /** Returns the median duration of all the step's tasks, which is known when half of them are done; 0 before. */
    long medianMillis() {
        int middle = (tasks.size() - 1) / 2;
        return durations.size() > Math.max(middle, MIN_DURATIONS - 1) ? durations.get(middle) : 0;
    }

    int countRunsOn(WorkerState worker) {
        int count = 0;
        for (Task task : tasks) {
            if (task.hasRunOn(worker)) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether a worker runs as many of the step's tasks as the step permits on one worker. */
    boolean reachesMaxPerWorker() {
        if (spec.maxPerWorker() == 0) {
            return false;
        }
        Map<WorkerState, Integer> runsByWorker = new HashMap<>();
        return tasks.stream()
                .flatMap(task -> task.runs().stream())
                .anyMatch(run -> runsByWorker.merge(run.worker(), 1, Integer::sum) >= spec.maxPerWorker());
    }

    int waitingCount(Instant now) {
        int count = 0;
        for (Task task : tasks) {
            if (task.waiting(now)) {
                count++;
            }
        }
        return count;
    }
}
