package org.flamingopitch.scheduler.cell.owner;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.JobState;

/**
 * What the store keeps of how far a job has come.
 *
 * @param end how the job ended, null while it is open
 * @param tasks the tasks that have been started
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
        return new ProgressRecord(job.terminal(), tasks);
    }

    private static void addTasks(Job job, Step step, List<TaskRecord> tasks) {
        for (Task task : step.tasks()) {
            boolean needed = job.open() ? task.lastRun() > 0 : task.run() != null;
            if (needed) {
                tasks.add(TaskRecord.of(task));
            }
        }
    }
}
