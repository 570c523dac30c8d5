package org.flamingopitch.scheduler.model;

/** Whether work may run again after an attempt whose outcome is unknown. */
public enum Repeatability {
    /** The work is idempotent. */
    REPEATABLE {
        @Override
        public boolean mayRunAgain() {
            return true;
        }
    },
    /** The work may run at most once. */
    NEVER_REPEATED {
        @Override
        public boolean mayRunAgain() {
            return false;
        }
    };

    /**
     * Tells whether an attempt with an unknown outcome may be followed by another.
     *
     * @return whether the work is idempotent
     */
    public abstract boolean mayRunAgain();
}
