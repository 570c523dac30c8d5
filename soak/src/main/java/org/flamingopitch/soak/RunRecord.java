package org.flamingopitch.soak;

/** A run of a task from its worker's point of view. Guarded by the {@link Ledger}. */
final class RunRecord {

    private static final long NEVER = Long.MAX_VALUE;

    private final WorkerId worker;

    private final int number;

    private final long startAt;

    private long endAt = NEVER;

    private String how = "";

    private boolean noted;

    private boolean notable = true;

    RunRecord(WorkerId worker, int number, long startAt) {
        this.worker = worker;
        this.number = number;
        this.startAt = startAt;
    }

    WorkerId worker() {
        return worker;
    }

    int number() {
        return number;
    }

    long startAt() {
        return startAt;
    }

    long endAt() {
        return endAt;
    }

    boolean active() {
        return endAt == NEVER;
    }

    void end(String reason, long at) {
        endAt = at;
        how = reason;
    }

    boolean ended(String reason) {
        return how.equals(reason);
    }

    /** An end that was listed when the worker's lease lapsed, or the worker crashed, is never taken note of. */
    void lapse() {
        if (!active() && !noted) {
            notable = false;
        }
    }

    void note() {
        noted = notable;
    }

    boolean noted(String reason) {
        return noted && ended(reason);
    }

    @Override
    public String toString() {
        return "run " + number + " on " + worker.text() + " from " + startAt
                + (active() ? "" : " to " + endAt + " (" + how + (noted ? ", noted)" : ")"));
    }
}
