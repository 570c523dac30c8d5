package org.flamingopitch.soak;

import java.util.EnumMap;
import java.util.Map;

/** When faults were in force. */
final class FaultHistory {

    /** How long machines and the store must be without disruption to be in touch, by the rules (contactMs). */
    static final long CONTACT_MILLIS = 4_000;

    private final Timeline timeline;

    private final Map<FaultKind, Integer> counts = new EnumMap<>(FaultKind.class);

    private int active;

    private long lastEnd = -CONTACT_MILLIS;

    FaultHistory(Timeline timeline) {
        this.timeline = timeline;
    }

    synchronized void begin(FaultKind kind) {
        active++;
        counts.merge(kind, 1, Integer::sum);
    }

    synchronized void end() {
        active--;
        lastEnd = timeline.millis();
    }

    /** Returns whether no fault has been in force for the last {@link #CONTACT_MILLIS}. */
    synchronized boolean calm() {
        return active == 0 && timeline.millis() - lastEnd >= CONTACT_MILLIS;
    }

    synchronized Map<FaultKind, Integer> counts() {
        return new EnumMap<>(counts);
    }
}
