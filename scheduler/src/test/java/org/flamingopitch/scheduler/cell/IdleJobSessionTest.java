package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays sessions with drawn jobs and disruptions, in which best-effort tasks interfere with latency-critical ones. The
 * property {@code idleJob.seeds} selects other seeds, such as {@code 0-999}.
 */
final class IdleJobSessionTest {

    private static final String SEEDS_PROPERTY = "idleJob.seeds";

    /**
     * In these, jobs waited for workers that each ran a throttled best-effort task or whose processor time was demanded
     * (21, 74), and in a cell in which many workers were unusable (33). In 21, a step without capacity hid another one.
     */
    private static final long[] SEEDS = {21, 33, 74};

    static LongStream seeds() {
        String range = System.getProperty(SEEDS_PROPERTY);
        if (range == null) {
            return LongStream.of(SEEDS);
        }
        String[] bounds = range.split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noJobIsIdleWhileTwoWorkersHaveCapacityForItInACellWithLittleLoad(long seed) {
        IdleJobCheck check = new DrawnSession(seed).play();
        System.out.printf(
                "seed %d: judged %d ms of idle time%n",
                seed, check.judgedIdleTime().toMillis());
        assertThat(check.violations()).isEmpty();
        if (System.getProperty(SEEDS_PROPERTY) == null) {
            assertThat(check.judgedIdleTime()).isPositive();
        }
    }
}
