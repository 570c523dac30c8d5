package org.flamingopitch.standins.kv;

/** Whether a write took effect. */
public enum WriteStatus {
    /** It did. */
    WRITTEN,
    /** The key has another version. */
    CONFLICT,
    /** The lease has ended. */
    LEASE_ENDED
}
