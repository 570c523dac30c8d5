package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.JobState;

/** The answer to a caller. */
public sealed interface CallerReply {

    /** Done: the job is stored, or its cancellation is. */
    record Done() implements CallerReply {}

    /**
     * The job's state.
     *
     * @param state the state
     */
    record State(JobState state) implements CallerReply {}

    /**
     * How many jobs of the queue wait for their first start.
     *
     * @param count the number
     */
    record Pending(int count) implements CallerReply {}

    /** There is no such job. */
    record NoJob() implements CallerReply {}

    /** There is no such queue. */
    record NoQueue() implements CallerReply {}

    /**
     * Nothing was done.
     *
     * @param retryAfter when to come back
     * @param reason why
     */
    record Refused(Duration retryAfter, String reason) implements CallerReply {}

    /**
     * The request is malformed; nothing was done.
     *
     * @param error what is wrong
     */
    record Malformed(String error) implements CallerReply {}

    /**
     * It is not known whether the request took effect; it may be repeated.
     *
     * @param reason why
     */
    record InDoubt(String reason) implements CallerReply {}
}
