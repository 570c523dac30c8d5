package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.util.Objects;
import org.flamingopitch.scheduler.cell.model.JobState;

/** The answer of the owner of the cell to a {@link JobRequest}. */
public sealed interface JobAnswer {

    /** The job is durable. */
    record Accepted() implements JobAnswer {}

    /**
     * The job was refused: it is not stored and will not run.
     *
     * @param retryAfter how long to wait before the job is submitted again
     * @param reason the reason, for the caller
     */
    record Refused(Duration retryAfter, String reason) implements JobAnswer {

        /**
         * Rejects an answer that lacks a component.
         *
         * @param retryAfter how long to wait before the job is submitted again
         * @param reason the reason, for the caller
         */
        public Refused {
            Objects.requireNonNull(retryAfter, "retryAfter");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The job's state.
     *
     * @param state the state
     */
    record State(JobState state) implements JobAnswer {

        /**
         * Rejects an answer that lacks a component.
         *
         * @param state the state
         */
        public State {
            Objects.requireNonNull(state, "state");
        }
    }

    /** The cancellation, or the end that the job had before, is durable. */
    record Cancelled() implements JobAnswer {}

    /** There is no such job. */
    record Unknown() implements JobAnswer {}

    /**
     * The number of jobs of a queue of which no task has been started.
     *
     * @param count the number of jobs
     */
    record Pending(int count) implements JobAnswer {}

    /** This process does not own the cell; the request had no effect. */
    record NotOwner() implements JobAnswer {}

    /** The outcome is unknown: the owner lost the cell or did not answer before the change was durable. */
    record InDoubt() implements JobAnswer {}
}
