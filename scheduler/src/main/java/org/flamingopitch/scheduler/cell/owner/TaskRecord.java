package org.flamingopitch.scheduler.cell.owner;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * What the store keeps of a task that has been started.
 *
 * @param occurrence the repetition of the job
 * @param step the step
 * @param index the task within the step
 * @param done whether it is done
 * @param run the number of its last start
 * @param worker where that start was sent, null if its end is known
 * @param failedRuns the starts that failed
 * @param checkpoint where to resume, null for the beginning
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record TaskRecord(
        int occurrence,
        int step,
        int index,
        boolean done,
        int run,
        WorkerId worker,
        List<Integer> failedRuns,
        String checkpoint) {

    TaskRecord {
        failedRuns = failedRuns == null ? List.of() : failedRuns;
    }

    static TaskRecord of(Task task) {
        return new TaskRecord(
                task.ref().occurrence(),
                task.ref().step(),
                task.ref().index(),
                task.done(),
                task.lastRun(),
                task.run() == null ? null : task.run().worker().id(),
                task.failedRuns().isEmpty() ? null : List.copyOf(task.failedRuns()),
                task.checkpoint().isEmpty() ? null : task.checkpoint());
    }
}
