package org.flamingopitch.coordination.once;

/** The policies by which the work of an idempotency key is prevented from running twice. */
public enum IdempotencyPolicy {
    /** Each key is recorded before its work runs; no work runs while the journal is unhealthy. */
    RECORDED {
        @Override
        public IdempotencyDecision decide(IdempotencyContext context) {
            return context.journalHealthy() ? IdempotencyDecision.RUN_WHEN_DURABLE : IdempotencyDecision.ANSWER_NOT_RUN;
        }
    },
    /**
     * Work of issued keys runs without waiting for a record. An opaque key, or one that may have been issued before the
     * owner's epoch, is not run.
     */
    MINTED {
        @Override
        public IdempotencyDecision decide(IdempotencyContext context) {
            return context.issuedInThisEpoch()
                    ? IdempotencyDecision.RUN_UNRECORDED
                    : IdempotencyDecision.ANSWER_UNKNOWN;
        }
    },
    /**
     * As {@link #RECORDED}, but issued keys of this epoch run unrecorded while the journal is unhealthy, and an issued
     * key that may be older than this epoch is not run unless the former owner recorded all its keys.
     */
    ADAPTIVE {
        @Override
        public IdempotencyDecision decide(IdempotencyContext context) {
            if (context.issuedAt().isEmpty()) {
                return RECORDED.decide(context);
            }
            if (!context.issuedInThisEpoch()) {
                return decideOnKeyOfFormerEpoch(context);
            }
            return context.journalHealthy() ? IdempotencyDecision.RUN_WHEN_DURABLE : IdempotencyDecision.RUN_UNRECORDED;
        }

        private IdempotencyDecision decideOnKeyOfFormerEpoch(IdempotencyContext context) {
            return context.formerOwnerRecordedAll() ? RECORDED.decide(context) : IdempotencyDecision.ANSWER_UNKNOWN;
        }
    };

    /**
     * Decides what to do with a key that is not in the table.
     *
     * @param context what is known about the key, the owner and the journal
     * @return the decision
     */
    public abstract IdempotencyDecision decide(IdempotencyContext context);
}
