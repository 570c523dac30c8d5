package org.flamingopitch.scheduler.cell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Callers that come back before there is capacity, or all at once, are rejected again. */
final class RetryDelayTest {

    private static final int JOB_COUNT = 3_000;

    /** Counts the delays in seconds of jobs whose ids differ in a few characters. */
    private static Map<Long, Integer> delays(long excessMillis) {
        Map<Long, Integer> delays = new TreeMap<>();
        for (int i = 0; i < JOB_COUNT; i++) {
            Duration delay =
                    RetryDelay.of(Duration.ofMillis(excessMillis), String.format("%016x", 0x88540890541aL + i));
            assertThat(delay.toMillisPart()).isZero();
            delays.merge(delay.toSeconds(), 1, Integer::sum);
        }
        return delays;
    }

    @Test
    void retriesAreSpreadEvenlyFromTheExpectedTimeToTwiceThatTime() {
        Map<Long, Integer> delays = delays(2_500);
        assertThat(delays.keySet()).containsExactly(3L, 4L, 5L, 6L);
        assertThat(delays.values()).allMatch(count -> count > JOB_COUNT / 5 && count < JOB_COUNT * 3 / 10);
    }

    @Test
    void retriesAreSpreadAlsoWhenCapacityIsExpectedVerySoonOrVeryLate() {
        assertThat(delays(50).keySet()).containsExactly(1L, 2L);
        assertThat(delays(60_000).keySet()).containsExactly(6L, 7L, 8L);
    }

    @Test
    void retryOfTheSameJobGetsTheSameDelay() {
        assertThat(RetryDelay.of(Duration.ofSeconds(3), "88540890541a2747"))
                .isEqualTo(RetryDelay.of(Duration.ofSeconds(3), "88540890541a2747"));
    }
}
