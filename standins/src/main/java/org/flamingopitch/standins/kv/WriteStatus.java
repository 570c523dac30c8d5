package org.flamingopitch.standins.kv;

/** Whether a write took effect, or why not. */
public enum WriteStatus {
    /** The write took effect. */
    WRITTEN,
    /** The key does not have the expected version. */
    CONFLICT,
    /** The lease of the write has ended. */
    LEASE_ENDED
}
