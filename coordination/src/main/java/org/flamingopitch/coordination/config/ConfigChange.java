package org.flamingopitch.coordination.config;

import java.time.Instant;

/**
 * An accepted change of the configuration, as stored in its history.
 *
 * @param version the version of the configuration after the change
 * @param who the author of the change
 * @param when the time at which it was proposed
 * @param writeId identifies the write: the process that wrote it and a sequence number
 */
public record ConfigChange(long version, String who, Instant when, String writeId) {}
