package org.flamingopitch.scheduler.cell.port;

import org.flamingopitch.scheduler.cell.model.ServiceName;

/**
 * The processor time of the registered workers of a service, usable or not, in thousandths of a core.
 *
 * @param service the service
 * @param total the capacity
 * @param reserved what is reserved by runs in any phase, also by those that are planned or that no report has shown
 * @param running the part of it that is reserved by runs which the workers have, as far as their last answers show
 */
public record ServiceCores(ServiceName service, long total, long reserved, long running) {}
