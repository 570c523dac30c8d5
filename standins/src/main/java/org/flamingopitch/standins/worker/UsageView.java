package org.flamingopitch.standins.worker;

/**
 * A measurement of the resources that a worker's tasks use.
 *
 * @param used the resources in use
 * @param ageMillis the age of the measurement in milliseconds
 */
public record UsageView(TaskSize used, long ageMillis) {}
