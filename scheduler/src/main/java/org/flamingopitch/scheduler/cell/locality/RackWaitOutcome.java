package org.flamingopitch.scheduler.cell.locality;

/** How the wait of a task for its rack ended. */
public enum RackWaitOutcome {
    /** The task was placed in its rack. */
    NEAR("near"),
    /** The task was placed on another rack, since a longer wait did not pay. */
    FAR("far"),
    /** The task was placed on another rack, since its own had no usable worker any more. */
    LOST("lost");

    private final String label;

    RackWaitOutcome(String label) {
        this.label = label;
    }

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name
     */
    public String label() {
        return label;
    }
}
