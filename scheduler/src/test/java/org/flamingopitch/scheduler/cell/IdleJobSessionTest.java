package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays sessions with drawn jobs and disruptions, in which best-effort tasks interfere with latency-critical ones. The
 * properties {@code idleJob.seeds} and {@code idleJob.closingSeeds} select other seeds, such as {@code 0-999}, and
 * {@code idleJob.listingSeeds} and {@code idleJob.listingClosingSeeds} those of sessions with the platform's list of workers.
 */
final class IdleJobSessionTest {

    private static final String SEEDS_PROPERTY = "idleJob.seeds";

    private static final String CLOSING_SEEDS_PROPERTY = "idleJob.closingSeeds";

    private static final String LISTING_SEEDS_PROPERTY = "idleJob.listingSeeds";

    private static final String LISTING_CLOSING_SEEDS_PROPERTY = "idleJob.listingClosingSeeds";

    /**
     * In these, the host of the former owner and workers are lost for good, and each listing lacked a worker that had just
     * begun to answer or had ended since it answered, so that runs on the lost workers stayed open for 10.4 s.
     */
    private static final long[] LISTING_SEEDS = {3065, 3197};

    /** As {@link #LISTING_SEEDS}, after a closing. */
    private static final long[] LISTING_CLOSING_SEEDS = {4036};

    /** In these, many jobs lose their tasks in the closing, and each has one at work again in time. */
    private static final long[] CLOSING_SEEDS = {50025, 50059, 50060};

    /**
     * In these, the successor after the closing takes runs on lost workers for open until 10.4 s after its election, of
     * long-running and best-effort tasks (50037, 50078), and of short ones too (50098).
     */
    private static final long[] LOST_WORKER_CLOSING_SEEDS = {50037, 50078, 50098};

    /**
     * In these, jobs waited for workers that each ran a throttled best-effort task or whose processor time was demanded
     * (21, 74), and in a cell in which many workers were unusable (33). In 21, a step without capacity hid another one.
     */
    private static final long[] SEEDS = {21, 33, 74};

    /**
     * In these, workers are lost or silent when or shortly before the only process that knows them ends, and a successor
     * takes their runs for open until 10.4 s after its election: a long-running task on 1 of 6 workers and two best-effort
     * ones (20030), short tasks that are not best-effort (20117), best-effort tasks in a cell with 4 % reserved (20345).
     */
    private static final long[] LOST_WORKER_SEEDS = {20030, 20117, 20345};

    /** In these, an owner that was itself elected a few seconds before is lost in a closing, and workers with it. */
    private static final long[] CONSECUTIVE_TAKEOVER_SEEDS = {81402, 81539};

    static LongStream seeds() {
        return seeds(SEEDS_PROPERTY, SEEDS);
    }

    static LongStream lostWorkerSeeds() {
        return LongStream.of(LOST_WORKER_SEEDS);
    }

    static LongStream lostWorkerClosingSeeds() {
        return LongStream.of(LOST_WORKER_CLOSING_SEEDS);
    }

    static LongStream consecutiveTakeoverSeeds() {
        return LongStream.of(CONSECUTIVE_TAKEOVER_SEEDS);
    }

    static LongStream closingSeeds() {
        return seeds(CLOSING_SEEDS_PROPERTY, CLOSING_SEEDS);
    }

    static LongStream listingSeeds() {
        return seeds(LISTING_SEEDS_PROPERTY, LISTING_SEEDS);
    }

    static LongStream listingClosingSeeds() {
        return seeds(LISTING_CLOSING_SEEDS_PROPERTY, LISTING_CLOSING_SEEDS);
    }

    private static LongStream seeds(String property, long... committed) {
        String range = System.getProperty(property);
        if (range == null) {
            return LongStream.of(committed);
        }
        String[] bounds = range.split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noJobIsIdleWhileTwoWorkersHaveCapacityForItInACellWithLittleLoad(long seed) {
        IdleJobCheck check = play(new DrawnSession(seed), seed);
        if (System.getProperty(SEEDS_PROPERTY) == null) {
            assertThat(check.judgedIdleTime()).isPositive();
        }
    }

    @ParameterizedTest
    @MethodSource("lostWorkerSeeds")
    void noJobIsIdleWhileASuccessorTakesRunsOnLostWorkersForOpen(long seed) {
        assertThat(new DrawnSession(seed).play().violations()).isEmpty();
    }

    /** Sessions that end like a day whose closing takes hosts and workers together, which others do seldom. */
    @ParameterizedTest
    @MethodSource("closingSeeds")
    void noJobIsIdleAfterAClosingThatTakesHostsAndWorkers(long seed) {
        play(DrawnSession.withClosing(seed), seed);
    }

    /** Guards against idle jobs, and against second runs, where the platform's list has faults and workers are replaced. */
    @ParameterizedTest
    @MethodSource("listingSeeds")
    void noJobIsIdleOrRunsTwiceWhileThePlatformListsItsWorkers(long seed) {
        playWithListing(DrawnSession.withListing(seed), seed);
    }

    /** All workers are silent, and two listings lack the page of one that runs on. */
    @Test
    void noTaskRunsTwiceIfListingsLackAPageWithSilentWorkersOnly() {
        playWithListing(DrawnSession.withListing(230014), 230014);
    }

    @ParameterizedTest
    @MethodSource("listingClosingSeeds")
    void noJobIsIdleOrRunsTwiceAfterAClosingWhileThePlatformListsItsWorkers(long seed) {
        playWithListing(DrawnSession.withListingAndClosing(seed), seed);
    }

    @ParameterizedTest
    @MethodSource("lostWorkerClosingSeeds")
    void noJobIsIdleAfterAClosingWhoseLostRunsASuccessorTakesForOpen(long seed) {
        assertThat(DrawnSession.withClosing(seed).play().violations()).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("consecutiveTakeoverSeeds")
    void noJobIsIdleBecauseEachTakeoverRestartsTheWaitForFormerLeases(long seed) {
        assertThat(DrawnSession.withClosing(seed).play().violations()).isEmpty();
    }

    /** Two workers have the label, and tasks that may have crashed workers are isolated on both. */
    @Test
    void noJobIsIdleWhileTasksInIsolationReserveAllWorkersWithALabel() {
        assertThat(new DrawnSession(30163).play().violations()).isEmpty();
    }

    private static void playWithListing(DrawnSession session, long seed) {
        play(session, seed);
        assertThat(session.secondRuns()).isEmpty();
    }

    private static IdleJobCheck play(DrawnSession session, long seed) {
        IdleJobCheck check = session.play();
        System.out.printf(
                "seed %d: judged %d ms of idle time%n",
                seed, check.judgedIdleTime().toMillis());
        assertThat(check.violations()).isEmpty();
        return check;
    }
}
