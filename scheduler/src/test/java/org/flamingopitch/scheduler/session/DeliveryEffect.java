package org.flamingopitch.scheduler.session;

import java.time.Duration;

/**
 * The effect of a fault on the delivery at its step.
 *
 * @param lost whether the delivery is dropped
 * @param delay how much later than normal it arrives
 * @param duplicated whether it arrives a second time
 */
record DeliveryEffect(boolean lost, Duration delay, boolean duplicated) {

    static final DeliveryEffect NORMAL = new DeliveryEffect(false, Duration.ZERO, false);

    static final DeliveryEffect LOST = new DeliveryEffect(true, Duration.ZERO, false);

    static final DeliveryEffect DUPLICATED = new DeliveryEffect(false, Duration.ZERO, true);

    static DeliveryEffect delayed(Duration delay) {
        return new DeliveryEffect(false, delay, false);
    }
}
