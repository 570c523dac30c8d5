package org.flamingopitch.scheduler.model;

/** Whether work may run again after an attempt whose outcome is unknown. */
public enum Repeatability {
    /** The work is idempotent and may run any number of times. */
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
     * Returns whether another attempt may follow one whose outcome is unknown.
     *
     * @return whether the work may run again
     */
    public abstract boolean mayRunAgain();
}
