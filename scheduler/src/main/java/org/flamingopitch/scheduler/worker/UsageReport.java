package org.flamingopitch.scheduler.worker;

import java.time.Duration;
import org.flamingopitch.scheduler.model.Resources;

/**
 * What a worker measured some time ago.
 *
 * @param used the processors, memory and accelerators in use
 * @param age how old the measurement is
 */
public record UsageReport(Resources used, Duration age) {}
