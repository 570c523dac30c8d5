package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Attributes the crashes of workers to the tasks that had just been started there. Several tasks may have been, so a
 * task is a suspect until one of its runs is proven or done; after two crashes it is started only where no other task
 * can be the cause, and after three it is to be given up.
 */
final class CrashAttribution {

    /** A run that its worker reports this long after its start has not crashed the worker. */
    static final Duration SUSPICION_TIME = Duration.ofSeconds(2);

    /** The platform allows to give up a task under which two workers have crashed; the third crash rules out chance. */
    private static final int MAX_CRASHES = 3;

    /** How many of them must be under a run that the worker is known to have had. */
    private static final int MIN_CONFIRMED_CRASHES = 2;

    /** Enough without confirmed runs: the platform forbids a sixth start. */
    private static final int MAX_UNCONFIRMED_CRASHES = 5;

    /** How long the runs of a worker with an expired lease stay suspect without a sign that it has crashed. */
    private static final Duration LAPSE_RETENTION = Duration.ofSeconds(60);

    /** By worker, the unproven runs that ended with its lease and that no report has cleared. */
    private final Map<WorkerId, Lapse> lapses = new LinkedHashMap<>();

    private final Set<Task> isolatedTasks = new LinkedHashSet<>();

    /** Records that the runs of a silent worker have ended with its lease; it may have crashed, or be cut off. */
    void recordLapse(WorkerState worker, Collection<Run> runs, Instant now) {
        lapses.values().removeIf(lapse -> !now.isBefore(lapse.at().plus(LAPSE_RETENTION)));
        List<Run> unproven = runs.stream().filter(run -> !run.proven()).toList();
        if (!unproven.isEmpty()) {
            lapses.put(worker.id(), new Lapse(now, unproven));
        }
    }

    /**
     * Attributes the crash of a worker.
     *
     * @param runs the runs that have ended with the worker, without those that ended with its lease
     * @return the runs that were counted, each at most once
     */
    List<Run> recordCrash(WorkerState worker, Collection<Run> runs) {
        Lapse lapse = lapses.remove(worker.id());
        List<Run> suspects = new ArrayList<>(runs);
        if (lapse != null) {
            suspects.addAll(lapse.runs());
        }
        suspects.removeIf(run -> worker.draining() || run.proven() || !countCrash(run));
        return suspects;
    }

    private boolean countCrash(Run run) {
        Task task = run.task();
        boolean counted = task.job().open() && !task.done() && task.addCrash(run.number(), run.confirmed());
        if (counted && task.needsIsolation()) {
            isolatedTasks.add(task);
        }
        return counted;
    }

    /** Returns whether so many workers have crashed under the task that it is to be given up. */
    static boolean exhausted(Task task) {
        boolean confirmed = task.crashedRuns().size() >= MIN_CONFIRMED_CRASHES;
        return task.crashCount() >= (confirmed ? MAX_CRASHES : MAX_UNCONFIRMED_CRASHES);
    }

    /**
     * Returns whether the task may be started only where no other task can crash the worker. Not after a single crash:
     * isolation withholds a worker from other tasks, and most suspects of one crash are innocent.
     */
    static boolean needsIsolation(Task task) {
        boolean confirmed = !task.crashedRuns().isEmpty();
        return task.crashCount() >= (confirmed ? MAX_CRASHES - 1 : MAX_CRASHES);
    }

    /**
     * Clears what a report disproves: the worker was cut off and has not crashed, and tasks with a proven run are no
     * suspects.
     *
     * @return the tasks that are no longer suspects
     */
    List<Task> clear(WorkerState worker) {
        lapses.remove(worker.id());
        List<Task> cleared = new ArrayList<>();
        for (Run run : worker.runs()) {
            Task task = run.task();
            if (run.proven() && task.suspect()) {
                task.clearCrashes();
                isolatedTasks.remove(task);
                cleared.add(task);
            }
        }
        return cleared;
    }

    /** Adds the suspects of a job that was restored from its records. */
    void restore(Job job) {
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                step.tasks().stream().filter(Task::needsIsolation).forEach(isolatedTasks::add);
            }
        }
    }

    /** Returns the tasks that may be started only in isolation and have no run. */
    List<Task> tasksAwaitingIsolation(Instant now) {
        isolatedTasks.removeIf(task -> task.done() || !task.job().open());
        return isolatedTasks.stream().filter(task -> task.awaitsIsolation(now)).toList();
    }

    private record Lapse(Instant at, List<Run> runs) {}
}
