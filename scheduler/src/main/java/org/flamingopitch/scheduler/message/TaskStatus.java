package org.flamingopitch.scheduler.message;

import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;

/**
 * The status of a task, as the owner of its rack knows it.
 *
 * @param task the attempt of the job
 * @param state the state
 * @param resumePoint the checkpoint of a stopped task, or empty
 * @param result the result of a finished task, or empty
 * @param detail the worker, or the reason why the task did not start
 */
public record TaskStatus(TaskId task, TaskState state, String resumePoint, Payload result, String detail) {

    /**
     * Creates a status without a checkpoint or result.
     *
     * @param task the attempt of the job
     * @param state the state
     * @param detail the worker or the reason
     * @return the status
     */
    public static TaskStatus of(TaskId task, TaskState state, String detail) {
        return new TaskStatus(task, state, "", Payload.EMPTY, detail);
    }
}
