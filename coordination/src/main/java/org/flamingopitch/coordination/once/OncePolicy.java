package org.flamingopitch.coordination.once;

/** The policies by which the work of an idempotency key is prevented from running twice. */
public enum OncePolicy {
    /** Each key is recorded before its work runs; no work runs while the journal is unhealthy. */
    RECORDED {
        @Override
        public OnceDecision decide(OnceSituation context) {
            return context.journalHealthy() ? OnceDecision.RUN_WHEN_DURABLE : OnceDecision.ANSWER_NOT_RUN;
        }
    },
    /** Work runs without waiting for a record; a key that may have been issued before the owner's epoch is not run. */
    MINTED {
        @Override
        public OnceDecision decide(OnceSituation context) {
            return context.issuedInThisEpoch() ? OnceDecision.RUN_UNRECORDED : OnceDecision.ANSWER_UNKNOWN;
        }
    },
    /** Keys are recorded while the journal is healthy; otherwise issued keys of this epoch run unrecorded. */
    ADAPTIVE {
        @Override
        public OnceDecision decide(OnceSituation context) {
            if (context.issuedAt().isEmpty()) {
                return RECORDED.decide(context);
            }
            if (!context.issuedInThisEpoch()) {
                return decideOnKeyOfFormerEpoch(context);
            }
            return context.journalHealthy() ? OnceDecision.RUN_WHEN_DURABLE : OnceDecision.RUN_UNRECORDED;
        }

        private OnceDecision decideOnKeyOfFormerEpoch(OnceSituation context) {
            return context.formerOwnerRecordedAll() ? RECORDED.decide(context) : OnceDecision.ANSWER_UNKNOWN;
        }
    };

    /**
     * Decides what to do with a key that is not in the table.
     *
     * @param context what is known about the key, the owner and the journal
     * @return the decision
     */
    public abstract OnceDecision decide(OnceSituation context);
}
