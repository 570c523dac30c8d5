package org.flamingopitch.standins.worker;

import java.time.Instant;

/**
 * An event on a worker. Only tests read it; real workers have no such log.
 *
 * @param at the time of the event
 * @param event the type of the event
 * @param id the request id, or the job and attempt of the task
 * @param detail the kind and payload of a started request, the resume point of a started task, the phase and
 *     checkpoint or the end of the lease of an ended task, otherwise empty
 */
public record LogEntry(Instant at, Event event, String id, String detail) {

    /** The types of events. */
    public enum Event {
        /** Processing of a request began. */
        REQUEST_STARTED,
        /** A request was answered. */
        REQUEST_ENDED,
        /** A task started. */
        TASK_STARTED,
        /** A task finished, failed, was stopped, or lost its lease. */
        TASK_ENDED
    }
}
