package org.flamingopitch.scheduler.worker;

import org.flamingopitch.scheduler.model.WorkerId;

/**
 * A host of the platform's list.
 *
 * @param host the worker
 * @param leaving whether it is about to go
 */
public record HostStatus(WorkerId host, boolean leaving) {}
