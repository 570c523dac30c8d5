package org.flamingopitch.coordination.once;

/** How a new key is kept from running twice. */
public enum OncePolicy {
    /** Every key is recorded before it runs; nothing runs while the store is away. */
    RECORDED {
        @Override
        public OnceDecision decide(OnceSituation situation) {
            return situation.journalHealthy() ? OnceDecision.RUN_WHEN_DURABLE : OnceDecision.ANSWER_NOT_RUN;
        }
    },
    /** Nothing is recorded; a key that may be older than the owner's epoch is not run. */
    MINTED {
        @Override
        public OnceDecision decide(OnceSituation situation) {
            return situation.youngerThanEpoch() ? OnceDecision.RUN_UNRECORDED : OnceDecision.ANSWER_UNKNOWN;
        }
    },
    /** Recorded while the store is quick; minted keys of this epoch run unrecorded while it is not. */
    ADAPTIVE {
        @Override
        public OnceDecision decide(OnceSituation situation) {
            if (situation.mintedAt().isEmpty()) {
                return RECORDED.decide(situation);
            }
            if (!situation.youngerThanEpoch()) {
                return decideOnOldKey(situation);
            }
            return situation.journalHealthy() ? OnceDecision.RUN_WHEN_DURABLE : OnceDecision.RUN_UNRECORDED;
        }

        private OnceDecision decideOnOldKey(OnceSituation situation) {
            return situation.formerOwnerRecordedAll() ? RECORDED.decide(situation) : OnceDecision.ANSWER_UNKNOWN;
        }
    };

    /**
     * Decides on a key that the table does not hold.
     *
     * @param situation what is known
     * @return the decision
     */
    public abstract OnceDecision decide(OnceSituation situation);
}
