package org.flamingopitch.standins.worker;

/**
 * A measurement.
 *
 * @param used what was in use
 * @param ageMillis how old the measurement is
 */
public record UsageView(TaskSize used, long ageMillis) {}
