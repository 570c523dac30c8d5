package org.flamingopitch.scheduler.node;

/** The kinds of changes that are written to the audit log. */
public enum AuditType {
    /** A new configuration is in force. */
    CONFIG_IN_FORCE,
    /** This process has become the owner of a partition. */
    PARTITION_GAINED,
    /** This process no longer owns a partition. */
    PARTITION_LOST,
    /** The new owner has restored a partition's state. */
    PARTITION_RECOVERED,
    /** An attempt to run a job has ended. */
    ATTEMPT_ENDED,
    /** A job has ended. */
    JOB_ENDED,
    /** The platform has announced that it will remove a worker. */
    WORKER_LEAVING,
    /** This process has started its shutdown. */
    DRAINING
}
