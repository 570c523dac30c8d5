package org.flamingopitch.scheduler.session;

/** The kind of delivery at a step. */
enum StepType {
    /** A call to the key-value service. */
    STORE_CALL,
    /** An answer of the key-value service. */
    STORE_ANSWER,
    /** A call to a worker. */
    WORKER_CALL,
    /** An answer of a worker. */
    WORKER_ANSWER,
    /** A message between entry hosts. */
    PEER_MESSAGE,
    /** A caller's request. */
    CALLER_REQUEST,
    /** An answer to a caller. */
    CALLER_ANSWER
}
