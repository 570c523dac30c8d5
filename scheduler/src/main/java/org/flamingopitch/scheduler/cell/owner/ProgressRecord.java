package org.flamingopitch.scheduler.cell.owner;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.JobState;

/**
 * The stored record of a job's progress.
 *
 * @param end the state in which the job ended, null while it is open
 * @param tasks the tasks that have been started; of a job that has ended, only those with an open run
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record ProgressRecord(JobState end, List<TaskRecord> tasks) {

    ProgressRecord {
        tasks = tasks == null ? List.of() : tasks;
    }

    static ProgressRecord of(Job job) {
        List<TaskRecord> tasks = new ArrayList<>();
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                addTasks(job, step, tasks);
            }
        }
        return new ProgressRecord(job.endState(), tasks);
    }

    private static void addTasks(Job job, Step step, List<TaskRecord> tasks) {
        for (Task task : step.tasks()) {
            boolean recorded = job.open() ? task.lastRunNumber() > 0 : task.run() != null;
            if (recorded) {
                tasks.add(TaskRecord.of(task));
            }
        }
    }
}
