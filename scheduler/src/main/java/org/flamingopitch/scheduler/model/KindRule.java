package org.flamingopitch.scheduler.model;

import java.time.Duration;

/**
 * The operators' rule for a kind of work.
 *
 * @param name the kind
 * @param urgency whether a caller waits for the answer
 * @param repeatability whether the work may run again after an unknown outcome
 * @param size the resources that one request or task needs
 * @param deadline the time after which the caller of an urgent kind stops waiting, or after which a job is late
 */
public record KindRule(
        KindName name, Urgency urgency, Repeatability repeatability, Resources size, Duration deadline) {}
