package org.flamingopitch.scheduler.cell.owner;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.JobState;

/**
 * The stored record of a part of a job's progress. The parts bound the size of a record, and a change of one task writes
 * only its part.
 *
 * @param end the state in which the job ended, null while it is open; only in the first part
 * @param tasks the tasks of this part that have been started; of a job that has ended, only those with an open run
 * @param laterParts whether tasks of later parts have been started; only in the first part of an open job
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record ProgressRecord(JobState end, List<TaskRecord> tasks, boolean laterParts) {

    ProgressRecord {
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }

    /** Returns the record of a part of a job's progress as it is now. */
    static ProgressRecord of(Job job, int part) {
        List<TaskRecord> tasks = new ArrayList<>();
        for (Task task : job.tasksOfPart(part)) {
            boolean recorded = job.open() ? task.lastRunNumber() > 0 : task.run() != null;
            if (recorded) {
                tasks.add(TaskRecord.of(task));
            }
        }
        if (part > 0) {
            return new ProgressRecord(null, tasks, false);
        }
        return new ProgressRecord(job.endState(), tasks, job.open() && job.laterPartsUsed());
    }

    /** Returns whether the record says no more than its absence would. */
    boolean empty() {
        return end == null && tasks.isEmpty() && !laterParts;
    }
}
