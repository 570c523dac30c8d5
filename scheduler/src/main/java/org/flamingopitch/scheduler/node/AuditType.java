package org.flamingopitch.scheduler.node;

/** The kinds of changes that are recorded. */
public enum AuditType {
    /** A new configuration is in force. */
    CONFIG_IN_FORCE,
    /** This process owns a partition. */
    PARTITION_GAINED,
    /** This process no longer owns a partition. */
    PARTITION_LOST,
    /** A partition's state was read back. */
    PARTITION_RECOVERED,
    /** An attempt at a job has ended. */
    ATTEMPT_ENDED,
    /** A job has ended. */
    JOB_ENDED,
    /** A worker leaves. */
    WORKER_LEAVING,
    /** This process shuts down. */
    DRAINING
}
