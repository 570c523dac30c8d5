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
        String checkpoint) {

    TaskRecord {
        failedRuns = failedRuns == null ? List.of() : failedRuns;
        crashedRuns = crashedRuns == null ? List.of() : crashedRuns;
        possiblyCrashedRuns = possiblyCrashedRuns == null ? List.of() : possiblyCrashedRuns;
    }

    static TaskRecord of(Task task) {
        Run run = task.run();
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
                task.checkpoint().isEmpty() ? null : task.checkpoint());
    }
}
