package org.flamingopitch.scheduler.cell.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests which data centres are under evacuation, and the lease that starts grant because of evacuations. */
final class EvacuationsTest {

    private final Evacuations evacuations = new Evacuations();

    @Test
    void evacuationsAreUnknownBeforeTheFirstUpdate() {
        assertThat(evacuations.known()).isFalse();
        evacuations.update(Set.of());
        assertThat(evacuations.known()).isTrue();
        assertThat(evacuations.covers("a")).isFalse();
    }

    @Test
    void updateReplacesTheFormerSet() {
        evacuations.update(Set.of("a", "b"));
        evacuations.update(Set.of("b", "c"));
        assertThat(evacuations.covers("a")).isFalse();
        assertThat(evacuations.covers("b")).isTrue();
        assertThat(evacuations.covers("c")).isTrue();
    }

    /** Counting the workers at each listing would cost time as long as an evacuation lasts. */
    @Test
    void workersAreCountedOnlyUntilTheStartIsLogged() {
        AtomicInteger counts = new AtomicInteger();
        evacuations.update(Set.of("a"));
        evacuations.logStarted(dataCentre -> counts.getAndIncrement());
        evacuations.logStarted(dataCentre -> counts.getAndIncrement());
        evacuations.logStarted(dataCentre -> counts.getAndIncrement());
        assertThat(counts).hasValue(2);
    }

    @Test
    void startLeaseIsLimitedOnlyInDeploymentsWithEvacuations() {
        Duration maxLease = Duration.ofSeconds(6);
        assertThat(EvacuationLimit.startLease(maxLease, Duration.ZERO)).isEqualTo(maxLease);
        assertThat(EvacuationLimit.startLease(maxLease, Duration.ofSeconds(5))).isEqualTo(Duration.ofSeconds(4));
        assertThat(EvacuationLimit.startLease(maxLease, Duration.ofSeconds(60))).isEqualTo(maxLease);
        assertThat(EvacuationLimit.startLease(maxLease, Duration.ofMillis(500))).isEqualTo(Duration.ofSeconds(2));
    }
}
