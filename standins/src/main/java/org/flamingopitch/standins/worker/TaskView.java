package org.flamingopitch.standins.worker;

/**
 * A task as reported.
 *
 * @param task the task
 * @param kind the kind of work
 * @param size what it takes
 * @param phase RUNNING, STOPPED, FINISHED or FAILED
 * @param resumePoint the latest checkpoint, or empty
 * @param result the result of a finished task, or empty
 */
public record TaskView(TaskKey task, String kind, TaskSize size, String phase, String resumePoint, byte[] result) {}
