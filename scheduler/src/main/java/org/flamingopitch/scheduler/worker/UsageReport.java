package org.flamingopitch.scheduler.worker;

import java.time.Duration;
import org.flamingopitch.scheduler.model.Resources;

/**
 * A measurement of the resources in use on a worker.
 *
 * @param used the resources in use
 * @param age the age of the measurement
 */
public record UsageReport(Resources used, Duration age) {}
