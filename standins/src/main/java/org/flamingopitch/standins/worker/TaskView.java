package org.flamingopitch.standins.worker;

/**
 * The state of a task in the answer of a worker.
 *
 * @param task the task
 * @param kind the kind of work
 * @param size the resources that the task uses
 * @param phase RUNNING, STOPPED, FINISHED or FAILED
 * @param resumePoint the checkpoint of a stopped task, or empty
 * @param result the result of a finished task, or empty
 */
public record TaskView(TaskKey task, String kind, TaskSize size, String phase, String resumePoint, byte[] result) {}
