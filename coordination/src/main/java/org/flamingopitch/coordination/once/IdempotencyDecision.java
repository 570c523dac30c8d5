package org.flamingopitch.coordination.once;

/** What to do with an idempotency key that is not in the table. */
public enum IdempotencyDecision {
    /** Record the key in the journal and run the work when the record is durable. */
    RUN_WHEN_DURABLE,
    /** Run immediately; a later owner will not run keys that were issued before its own epoch. */
    RUN_UNRECORDED,
    /** A former owner may have run the work: answer that the outcome is unknown. */
    ANSWER_UNKNOWN,
    /** The work has not run and cannot be run safely now: answer that it was not run. */
    ANSWER_NOT_RUN
}
