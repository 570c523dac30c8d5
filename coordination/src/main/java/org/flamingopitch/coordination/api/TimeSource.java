package org.flamingopitch.coordination.api;

import java.time.Instant;

/** Tells the time; within one process the answers never go backwards. */
@FunctionalInterface
public interface TimeSource {

    /**
     * Returns the current time.
     *
     * @return the time, advanced by a monotonic clock since the process started
     */
    Instant now();
}
