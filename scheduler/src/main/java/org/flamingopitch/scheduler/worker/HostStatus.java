package org.flamingopitch.scheduler.worker;

import org.flamingopitch.scheduler.model.WorkerId;

/**
 * An entry of the platform's list of hosts.
 *
 * @param host the worker that runs on the host
 * @param leaving whether the platform will remove the host soon
 */
public record HostStatus(WorkerId host, boolean leaving) {}
