package org.flamingopitch.coordination.config;

import java.time.Instant;

/**
 * One accepted change of the configuration.
 *
 * @param version the version that the change made
 * @param who who made it
 * @param when when it was accepted
 * @param writeId names the write
 */
public record ConfigChange(long version, String who, Instant when, String writeId) {}
