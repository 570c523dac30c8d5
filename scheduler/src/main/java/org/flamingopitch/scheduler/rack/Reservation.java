package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import org.flamingopitch.scheduler.model.Resources;

/** The resources reserved on a worker for one request or task. */
final class Reservation {

    private final Resources size;

    private Instant outcomeUnknownSince;

    Reservation(Resources size) {
        this.size = size;
    }

    Resources size() {
        return size;
    }

    /** Records that a call ended without an answer, so that the work may still be running. */
    void markOutcomeUnknown(Instant now) {
        outcomeUnknownSince = now;
    }

    /** Returns whether the outcome has been unknown since the given time or earlier. */
    boolean outcomeUnknownBy(Instant bound) {
        return outcomeUnknownSince != null && !outcomeUnknownSince.isAfter(bound);
    }
}
