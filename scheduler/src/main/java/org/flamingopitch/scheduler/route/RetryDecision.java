package org.flamingopitch.scheduler.route;

/** Whether a call is retried after an answer. */
public enum RetryDecision {
    /** The answer is final and goes to the caller. */
    FINAL,
    /** The work did not run; a retry is safe. */
    RETRY_NOT_RUN,
    /** The work may have run, but is idempotent; a retry is safe and counts towards the retry budget. */
    RETRY_OUTCOME_UNKNOWN
}
