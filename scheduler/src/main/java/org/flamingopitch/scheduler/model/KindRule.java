package org.flamingopitch.scheduler.model;

import java.time.Duration;

/**
 * The operators' rule for a kind of work.
 *
 * @param name the kind
 * @param urgency whether somebody waits
 * @param repeatability whether it may run again
 * @param size what one piece of work takes
 * @param deadline how long an urgent caller waits, or after which a job counts as late
 */
public record KindRule(
        KindName name, Urgency urgency, Repeatability repeatability, Resources size, Duration deadline) {}
