package org.flamingopitch.scheduler.session;

/** The guarantees of the scheduler to callers and operators; {@link SessionCheck} checks each of them. */
enum Guarantee {
    /** No host is given more work than its processors, memory, accelerators and slots hold. */
    CAPACITY,
    /** Exclusive work never runs in two places at once. */
    EXCLUSIVE,
    /** Evicted work resumes exactly once, from its checkpoint. */
    RESUME_ONCE,
    /** A caller gets the complete answer to its own request. */
    OWN_ANSWER,
    /** Work that was answered "not run" or refused did not run. */
    NOT_RUN,
    /** Work that is not idempotent runs at most once. */
    AT_MOST_ONCE,
    /** An endpoint gets no new work later than three seconds after the host list shows it as leaving. */
    LEAVING,
    /** A graceful shutdown closes no connection with an open request. */
    GRACEFUL,
    /** An accepted configuration comes into force on every process and is never replaced by an older one. */
    CONFIGURATION,
    /** Accepted work finishes once the faults are over. */
    PROGRESS
}
