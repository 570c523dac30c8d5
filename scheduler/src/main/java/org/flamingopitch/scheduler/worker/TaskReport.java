package org.flamingopitch.scheduler.worker;

import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.TaskId;

/**
 * The state of a task, as its worker reports it.
 *
 * @param task the attempt of the job
 * @param kind the kind of work
 * @param size the resources that it needs
 * @param phase whether the task runs, or how it ended
 * @param resumePoint the latest checkpoint, empty if there is none
 * @param result the result of a finished task, or an empty payload
 */
public record TaskReport(
        TaskId task, KindName kind, Resources size, TaskPhase phase, String resumePoint, Payload result) {}
