package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Predicate;

/**
 * An open job with nothing at work although the turn of one of its tasks has come.
 *
 * @param task the first task that has no run, else the first whose runs are not at work
 * @param time how long nothing has been at work, or the step has been due, if that is shorter
 * @param runs the number of open runs for each reason why they are not at work
 */
record IdleJob(Task task, Duration time, Map<Inactivity, Integer> runs) {

    /** The platform expects a job to have a task at work within 3 s if there is capacity for it. */
    static final Duration NOTICEABLE_TIME = Duration.ofSeconds(2);

    /**
     * Returns the job as an idle one, or null if it is not idle.
     *
     * @param answering whether the last call to a worker was answered
     * @param observedSince before this time it is not known what was at work
     */
    static IdleJob of(
            Job job, Predicate<WorkerState> answering, Instant observedSince, long timeOfDayMillis, Instant now) {
        Map<Inactivity, Integer> runs = new EnumMap<>(Inactivity.class);
        Instant since = later(job.submittedAt(), observedSince);
        Task withoutRun = null;
        Task withRun = null;
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                boolean ready = !step.done() && step.ready(timeOfDayMillis);
                for (Task task : step.tasks()) {
                    // The end of a task that is done may have made the step of another one ready.
                    since = later(since, task.lastAtWorkAt());
                    if (task.done()) {
                        continue;
                    }
                    for (Run run : task.runs()) {
                        Inactivity inactivity = Inactivity.of(run, answering);
                        if (inactivity == null) {
                            return null;
                        }
                        runs.merge(inactivity, 1, Integer::sum);
                        since = later(since, inactivity.since(run));
                    }
                    boolean hasRun = task.run() != null;
                    withRun = withRun == null && hasRun ? task : withRun;
                    withoutRun = withoutRun == null && ready && !hasRun ? task : withoutRun;
                }
            }
        }
        Task task = withoutRun == null ? withRun : withoutRun;
        return task == null ? null : new IdleJob(task, time(task, since, timeOfDayMillis, now), runs);
    }

    private static Duration time(Task task, Instant since, long timeOfDayMillis, Instant now) {
        Duration idle = Duration.between(since, now);
        if (!task.job().spec().timed()) {
            return idle;
        }
        Duration due = Duration.ofMillis(
                timeOfDayMillis - task.job().scheduledStartMillis(task.step().occurrence()));
        return due.compareTo(idle) < 0 ? due : idle;
    }

    private static Instant later(Instant first, Instant second) {
        return second.isAfter(first) ? second : first;
    }

    /** Returns whether the job has been idle for so long that something must be done about it. */
    boolean noticeable() {
        return time.compareTo(NOTICEABLE_TIME) >= 0;
    }

    /** Returns what the task waits for, apart from a worker that takes it. */
    String state(Instant now) {
        if (task.run() != null) {
            return "not_at_work";
        }
        if (task.awaitsIsolation(now)) {
            return "isolation";
        }
        if (!task.waiting(now)) {
            return "retry_delay";
        }
        return task.rackWaitSince() != null && !task.rackWaitEnded() ? "rack_wait" : "waiting";
    }

    /** Returns the numbers of runs as fields of a log line, each preceded by a space; empty without runs. */
    String runFields() {
        StringJoiner fields = new StringJoiner("");
        runs.forEach((inactivity, count) -> fields.add(" runs_" + inactivity.label() + "=" + count));
        return fields.toString();
    }

    /** Why an open run is not at work. */
    enum Inactivity {
        /** The record of the start is not durable yet. */
        PLANNED,

        /** The start was sent, and no answer or report has shown the run since. */
        UNREPORTED,

        /** The last call to the worker was not answered. */
        SILENT,

        /** The run is being stopped. */
        STOPPING,

        /** The run is paused since it slows a latency-critical task. */
        PAUSED;

        /** Returns why a run is not at work, or null if it is. */
        static Inactivity of(Run run, Predicate<WorkerState> answering) {
            return switch (run.phase()) {
                case PLANNED -> PLANNED;
                case SENT -> UNREPORTED;
                case STOPPING -> STOPPING;
                case RUNNING -> {
                    if (!answering.test(run.worker())) {
                        yield SILENT;
                    }
                    yield run.throttledToPercent() == 0 ? PAUSED : null;
                }
            };
        }

        /** Returns since when a run has not been at work, {@link Instant#MIN} if it never was. */
        Instant since(Run run) {
            return switch (this) {
                case PLANNED -> Instant.MIN;
                case UNREPORTED -> run.confirmed() ? run.placedAt() : Instant.MIN;
                case SILENT -> later(run.reportedAt(), run.phaseSince());
                case STOPPING -> run.phaseSince();
                case PAUSED -> run.throttledAt();
            };
        }

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
