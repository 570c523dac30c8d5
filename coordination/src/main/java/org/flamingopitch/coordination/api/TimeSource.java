package org.flamingopitch.coordination.api;

import java.time.Instant;

/** A source of the current time that never goes backwards within one process. */
@FunctionalInterface
public interface TimeSource {

    /**
     * Returns the current time.
     *
     * @return the time, advanced by a monotonic clock since the process started
     */
    Instant now();
}
