package org.flamingopitch.scheduler.cell.admission;

/** The outcome of a submission at the owner of the cell. */
public enum AdmissionOutcome {
    /** The job is admitted. */
    ADMITTED("admitted"),

    /** The work ahead of the job would not be done in time. */
    BACKLOG("backlog"),

    /** Long-running tasks would reserve so many processors that short tasks would lack capacity. */
    LONG_RUNNING_SHARE("long_running_share"),

    /** The job needs a feature that is not supported. */
    UNSUPPORTED("unsupported"),

    /** A newer configuration than that of the host which received the job has no queue for it. */
    UNCONFIGURED("unconfigured"),

    /** The store has not confirmed the ownership recently enough. */
    UNCONFIRMED("unconfirmed"),

    /** The store does not answer, and the job was in no transaction. */
    STORE_AWAY("store_away");

    private final String label;

    AdmissionOutcome(String label) {
        this.label = label;
    }

    /**
     * Returns the name of the outcome in logs and metrics.
     *
     * @return the name
     */
    public String label() {
        return label;
    }
}
