package org.flamingopitch.scheduler.session;

import java.time.Duration;

/**
 * What becomes of a delivery.
 *
 * @param lost whether it is dropped
 * @param delay how much later it arrives
 * @param twice whether it arrives a second time
 */
record Fate(boolean lost, Duration delay, boolean twice) {

    static final Fate NORMAL = new Fate(false, Duration.ZERO, false);

    static final Fate LOST = new Fate(true, Duration.ZERO, false);

    static final Fate TWICE = new Fate(false, Duration.ZERO, true);

    static Fate delayed(Duration delay) {
        return new Fate(false, delay, false);
    }
}
