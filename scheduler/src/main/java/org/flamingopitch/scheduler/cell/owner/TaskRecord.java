package org.flamingopitch.scheduler.cell.owner;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * The stored state of a task that has been started at least once.
 *
 * @param occurrence the occurrence of the job, from 0
 * @param step the index of the step
 * @param index the index of the task within the step
 * @param done whether the task is done
 * @param run the number of its last run
 * @param worker the worker of that run, null if the run has ended
 * @param address the address of that worker, null if the run has ended or the worker has never answered
 * @param incarnation the incarnation of that worker, 0 if the run has ended or it is not known
 * @param failedRuns the numbers of the runs that failed
 * @param crashedRuns the numbers of the runs under which a worker crashed
 * @param possiblyCrashedRuns the numbers of the runs whose worker crashed before it confirmed their start
 * @param checkpoint the checkpoint to resume from, null to start from the beginning
 * @param earlier an open run that was started before the last one, null if there is none
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record TaskRecord(
        int occurrence,
        int step,
        int index,
        boolean done,
        int run,
        WorkerId worker,
        String address,
        long incarnation,
        List<Integer> failedRuns,
        List<Integer> crashedRuns,
        List<Integer> possiblyCrashedRuns,
        String checkpoint,
        OpenRun earlier) {

    /** Rejects a record that refers to no task. */
    TaskRecord {
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new IllegalArgumentException("negative number of a task: " + occurrence + "." + step + "." + index);
        }
        failedRuns = failedRuns == null ? List.of() : List.copyOf(failedRuns);
        crashedRuns = crashedRuns == null ? List.of() : List.copyOf(crashedRuns);
        possiblyCrashedRuns = possiblyCrashedRuns == null ? List.of() : List.copyOf(possiblyCrashedRuns);
    }

    static TaskRecord of(Task task) {
        Run run = null;
        Run earlier = null;
        for (Run open : task.runs()) {
            if (open.number() == task.lastRunNumber()) {
                run = open;
            } else {
                earlier = open;
            }
        }
        return new TaskRecord(
                task.ref().occurrence(),
                task.ref().step(),
                task.ref().index(),
                task.done(),
                task.lastRunNumber(),
                run == null ? null : run.worker().id(),
                run == null ? null : run.worker().address(),
                run == null ? 0 : run.workerIncarnation(),
                task.failedRuns().isEmpty() ? null : List.copyOf(task.failedRuns()),
                task.crashedRuns().isEmpty() ? null : List.copyOf(task.crashedRuns()),
                task.possiblyCrashedRuns().isEmpty() ? null : List.copyOf(task.possiblyCrashedRuns()),
                task.checkpoint().isEmpty() ? null : task.checkpoint(),
                earlier == null ? null : OpenRun.of(earlier));
    }

    /** Returns whether a worker had begun the task; a recorded run alone does not show it, as its start may be refused. */
    boolean showsBegin() {
        return done || !failedRuns.isEmpty() || !crashedRuns.isEmpty() || checkpoint != null;
    }

    /**
     * An open run of a task that has a later one.
     *
     * @param run the number of the run
     * @param worker its worker
     * @param address the address of the worker, null if the worker has never answered
     * @param incarnation the incarnation of the worker, 0 if it is not known
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    record OpenRun(int run, WorkerId worker, String address, long incarnation) {

        static OpenRun of(Run run) {
            return new OpenRun(run.number(), run.worker().id(), run.worker().address(), run.workerIncarnation());
        }
    }
}
