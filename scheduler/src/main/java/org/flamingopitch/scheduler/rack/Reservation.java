package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import org.flamingopitch.scheduler.model.Resources;

/** What one piece of work takes of a worker. */
final class Reservation {

    private final Resources size;

    private Instant inDoubtSince;

    Reservation(Resources size) {
        this.size = size;
    }

    Resources size() {
        return size;
    }

    void markInDoubt(Instant now) {
        inDoubtSince = now;
    }

    boolean inDoubtBefore(Instant bound) {
        return inDoubtSince != null && !inDoubtSince.isAfter(bound);
    }
}
