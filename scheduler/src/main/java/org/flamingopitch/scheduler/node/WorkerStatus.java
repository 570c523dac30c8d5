package org.flamingopitch.scheduler.node;

import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * The state of a worker, as the owner of its rack reports it.
 *
 * @param worker the worker
 * @param usable whether the owner sends new work to the worker
 * @param why the reason why it is not usable, or {@code ok}
 * @param requests the number of requests on the worker
 * @param tasks the number of tasks on the worker
 * @param slots the total number of slots
 * @param reserved the resources reserved for the work on the worker
 */
public record WorkerStatus(
        WorkerId worker, boolean usable, String why, int requests, int tasks, int slots, Resources reserved) {}
