package org.flamingopitch.scheduler.cell.outage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** An outage that is seen late holds callers; a slow store that is taken for an outage rejects callers for nothing. */
final class StoreOutageTest {

    private final StoreOutage outage = new StoreOutage();

    private Instant now = Instant.EPOCH;

    private void transact(long millis) {
        outage.onSent(now);
        now = now.plusMillis(millis);
        outage.onAnswered(now);
    }

    @Test
    void storeIsAwayWhenATransactionIsUnansweredForManyTimesTheUsual() {
        transact(4);
        outage.onSent(now);
        assertThat(outage.away(now.plusMillis(399))).isFalse();
        assertThat(outage.away(now.plusMillis(400))).isTrue();
        assertThat(outage.elapsed(now.plusMillis(400))).isEqualTo(Duration.ofMillis(400));
    }

    @Test
    void storeThatAnswersAgainIsNotAway() {
        outage.onSent(now);
        now = now.plusSeconds(5);
        assertThat(outage.away(now)).isTrue();
        outage.onAnswered(now);
        assertThat(outage.away(now)).isFalse();
        assertThat(outage.elapsed(now)).isZero();
    }

    @Test
    void storeThatHasBecomeSlowIsNotAwayAfterAFewTransactions() {
        for (int i = 0; i < 20; i++) {
            transact(300);
        }
        outage.onSent(now);
        assertThat(outage.away(now.plusMillis(1_000))).isFalse();
    }

    @Test
    void longOutageDoesNotMakeTheNextOneGoUnnoticed() {
        for (int i = 0; i < 20; i++) {
            transact(60_000);
        }
        outage.onSent(now);
        assertThat(outage.away(now.plusMillis(1_500))).isTrue();
    }
}
