package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.model.Reason;

/** The answer to a job command. */
public sealed interface JobAnswer {

    /**
     * The command was carried out; the job has this state.
     *
     * @param view the job as its caller sees it
     */
    record Known(JobView view) implements JobAnswer {}

    /** There is no job with this key. */
    record NoSuchJob() implements JobAnswer {}

    /**
     * The command was not carried out and will not be.
     *
     * @param reason why it was refused
     * @param failure the step that refused it, and the peer
     */
    record Refused(Reason reason, Failure failure) implements JobAnswer {}

    /**
     * The command may have been carried out; the caller can query the state of the job.
     *
     * @param failure the step that failed, and the peer
     */
    record Undecided(Failure failure) implements JobAnswer {}
}
