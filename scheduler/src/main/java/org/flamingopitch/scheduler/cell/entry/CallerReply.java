package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.JobState;

/** The reply to a caller's request. */
public sealed interface CallerReply {

    /** The submission or the cancellation of the job is stored. */
    record Done() implements CallerReply {}

    /**
     * The job's state.
     *
     * @param state the state
     */
    record State(JobState state) implements CallerReply {}

    /**
     * The number of jobs in the queue that have not started.
     *
     * @param count the number of jobs
     */
    record Pending(int count) implements CallerReply {}

    /** The job does not exist. */
    record NoJob() implements CallerReply {}

    /** No queue is configured for the request's host and path. */
    record NoQueue() implements CallerReply {}

    /**
     * The request was refused and had no effect.
     *
     * @param retryAfter how long the caller should wait before it retries
     * @param reason why the request was refused
     */
    record Refused(Duration retryAfter, String reason) implements CallerReply {}

    /**
     * The request is malformed and had no effect.
     *
     * @param error what is wrong with the request
     */
    record Malformed(String error) implements CallerReply {}

    /**
     * The outcome is unknown: the request may have taken effect. Repeating it is safe.
     *
     * @param reason why the outcome is unknown
     */
    record InDoubt(String reason) implements CallerReply {}
}
