package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.model.Reason;

/** The answer to a job command. */
public sealed interface JobAnswer {

    /**
     * The job's state.
     *
     * @param view the state
     */
    record Known(JobView view) implements JobAnswer {}

    /** No such job. */
    record NoSuchJob() implements JobAnswer {}

    /**
     * The command was not carried out and will not be.
     *
     * @param reason why
     * @param failure the step and peer
     */
    record Refused(Reason reason, Failure failure) implements JobAnswer {}

    /**
     * The command may have been carried out; ask for the state.
     *
     * @param failure the step and peer
     */
    record Undecided(Failure failure) implements JobAnswer {}
}
