package org.flamingopitch.scheduler.worker;

import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.TaskId;

/**
 * A task as its worker sees it.
 *
 * @param task the attempt
 * @param kind the kind of work
 * @param size what it takes
 * @param phase whether it runs or how it ended
 * @param resumePoint the latest checkpoint, empty if there is none
 * @param result the result of a finished task, or an empty payload
 */
public record TaskReport(
        TaskId task, KindName kind, Resources size, TaskPhase phase, String resumePoint, Payload result) {}
