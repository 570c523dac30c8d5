package org.flamingopitch.soak;

/** How the runs of a job's tasks end on their own. */
enum TaskBehaviour {
    SUCCEEDS {
        @Override
        boolean fails(int run) {
            return false;
        }
    },
    FAILS {
        @Override
        boolean fails(int run) {
            return true;
        }
    },
    /** Every second run fails. */
    FLAKY {
        @Override
        boolean fails(int run) {
            return run % 2 == 1;
        }
    },
    /** Runs until it is stopped. */
    LASTS {
        @Override
        boolean fails(int run) {
            return false;
        }
    };

    abstract boolean fails(int run);
}
