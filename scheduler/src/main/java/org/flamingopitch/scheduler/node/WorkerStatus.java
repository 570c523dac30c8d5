package org.flamingopitch.scheduler.node;

import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * The state of a worker at its owner.
 *
 * @param worker the worker
 * @param usable whether it gets new work
 * @param why why it does not, or {@code ok}
 * @param requests the requests on it
 * @param tasks the tasks on it
 * @param slots all its slots
 * @param reserved what the work on it takes
 */
public record WorkerStatus(
        WorkerId worker, boolean usable, String why, int requests, int tasks, int slots, Resources reserved) {}
