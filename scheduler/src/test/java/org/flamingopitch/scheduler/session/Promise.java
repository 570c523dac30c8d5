package org.flamingopitch.scheduler.session;

/** The promises that the checks are written from. */
enum Promise {
    /** No host is given more work than its processors, memory, accelerators and slots hold. */
    CAPACITY,
    /** Exclusive work never runs in two places at once. */
    EXCLUSIVE,
    /** Evicted work resumes exactly once. */
    RESUME_ONCE,
    /** A caller gets the whole answer to its own request. */
    OWN_ANSWER,
    /** What was told "not run" did not run. */
    NOT_RUN,
    /** Work that is not idempotent runs at most once. */
    AT_MOST_ONCE,
    /** A leaving endpoint gets no new work after three seconds. */
    LEAVING,
    /** A graceful shutdown cuts off no request. */
    GRACEFUL,
    /** An accepted configuration is in force everywhere and never reverts. */
    CONFIGURATION,
    /** What was accepted is done once the faults are over. */
    PROGRESS
}
