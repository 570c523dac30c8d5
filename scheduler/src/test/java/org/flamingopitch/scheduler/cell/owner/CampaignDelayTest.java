package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.flamingopitch.coordination.api.ProcessId;
import org.junit.jupiter.api.Test;

/** The host that can order the most workers should win the election when several hosts can. */
final class CampaignDelayTest {

    private static final Duration SAME_REGION = Duration.ofMillis(5);

    private static final Duration OTHER_REGION = Duration.ofMillis(65);

    private static final long VACANT_VERSION = 17;

    private static Duration delay(double processors, Duration roundTrip) {
        return delay(processors, roundTrip, Duration.ofMinutes(1));
    }

    private static Duration delay(double processors, Duration roundTrip, Duration running) {
        Instant startedAt = OwnerFixtures.NOW;
        return new CampaignDelay(new OwnerRecord(new ProcessId("host"), "host:1", processors), startedAt)
                .of(roundTrip, VACANT_VERSION, startedAt.plus(running));
    }

    @Test
    void hostThatHasJustStartedDoesNotWinBeforeHostsThatSawTheLastNoteOfTheFormerOwner() {
        Duration running = Duration.ofMillis(1_200);
        assertThat(delay(0.75, SAME_REGION, running))
                .isGreaterThan(delay(0.75, SAME_REGION).plusMillis(200));
        assertThat(delay(0.75, SAME_REGION, running)).isLessThan(Duration.ofMillis(700));
    }

    @Test
    void hostWithMoreProcessorTimeCampaignsEarlier() {
        assertThat(delay(1.5, SAME_REGION)).isLessThan(delay(0.75, SAME_REGION));
        assertThat(delay(0.75, SAME_REGION))
                .isLessThan(delay(0.207, SAME_REGION).minusMillis(60));
    }

    @Test
    void hostNearTheStoreCampaignsEarlier() {
        assertThat(delay(0.75, SAME_REGION))
                .isLessThan(delay(0.75, OTHER_REGION).minusMillis(60));
    }

    @Test
    void smallHostInAFarRegionWithASlowStoreStillCampaignsSoon() {
        assertThat(delay(0.01, Duration.ofSeconds(5))).isLessThan(Duration.ofMillis(700));
    }
}
