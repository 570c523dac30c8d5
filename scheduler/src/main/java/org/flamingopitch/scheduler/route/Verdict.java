package org.flamingopitch.scheduler.route;

/** What an answer means for a routed call. */
public enum Verdict {
    /** The caller gets this answer. */
    FINAL,
    /** Nothing ran; another try is safe. */
    RETRY_NOT_RUN,
    /** It may have run; another try is safe all the same. */
    RETRY_IN_DOUBT
}
