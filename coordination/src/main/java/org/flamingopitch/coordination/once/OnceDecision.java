package org.flamingopitch.coordination.once;

/** What to do with a key that the table does not hold. */
public enum OnceDecision {
    /** Write an intent and run once it is durable. */
    RUN_WHEN_DURABLE,
    /** Run at once; a successor will refuse keys of this age. */
    RUN_UNRECORDED,
    /** A former owner may have run it; answer that the outcome is unknown. */
    ANSWER_UNKNOWN,
    /** It has never run and cannot run safely now; answer that it was not run. */
    ANSWER_NOT_RUN
}
