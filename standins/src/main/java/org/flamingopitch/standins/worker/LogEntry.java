package org.flamingopitch.standins.worker;

import java.time.Instant;

/**
 * What happened on a worker; for tests, not for the system.
 *
 * @param at when
 * @param event what happened
 * @param id the request or task
 * @param detail the payload's text, or a checkpoint
 */
public record LogEntry(Instant at, Event event, String id, String detail) {

    /** What can happen on a worker. */
    public enum Event {
        /** A request began. */
        REQUEST_STARTED,
        /** A request ended. */
        REQUEST_ENDED,
        /** A task began. */
        TASK_STARTED,
        /** A task ended, by itself, by a stop, or by the end of its lease. */
        TASK_ENDED
    }
}
