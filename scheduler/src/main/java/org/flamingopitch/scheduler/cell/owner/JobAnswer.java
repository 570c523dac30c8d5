package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.JobState;

/** What the owner of the cell answers. */
public sealed interface JobAnswer {

    /** The job is stored. */
    record Accepted() implements JobAnswer {}

    /**
     * The job is not stored and will not run.
     *
     * @param retryAfter when to come back
     * @param reason why
     */
    record Refused(Duration retryAfter, String reason) implements JobAnswer {}

    /**
     * The job's state.
     *
     * @param state the state
     */
    record State(JobState state) implements JobAnswer {}

    /** The cancellation is stored. */
    record Cancelled() implements JobAnswer {}

    /** There is no such job. */
    record Unknown() implements JobAnswer {}

    /**
     * How many jobs of a queue wait for their first start.
     *
     * @param count the number
     */
    record Pending(int count) implements JobAnswer {}

    /** This process does not own the cell; nothing was done. */
    record NotOwner() implements JobAnswer {}

    /** It is not known whether the request took effect. */
    record InDoubt() implements JobAnswer {}
}
