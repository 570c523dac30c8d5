package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Plays drawn orders of events and of trouble with the store. Afterwards one host is left and the store answers: a cell
 * that has no owner then has none for good. In all this no process may take its ownership for confirmed after its key
 * has gone.
 */
final class ElectionDrawnEventsTest {

    private static final long SEEDS = 400;

    private static final Duration MAX_TROUBLE = Duration.ofSeconds(20);

    /**
     * Calls under way arrive 2.5 s late, a lease that they grant or renew then lasts for 2 s, a watch that fails is noticed
     * after 2.5 s, and a campaign takes less than 1 s.
     */
    private static final Duration MAX_TIME_WITHOUT_OWNER = Duration.ofSeconds(8);

    private static final Duration TIME_AS_OWNER = Duration.ofSeconds(5);

    @Test
    void hostThatIsLeftOwnsTheCell() {
        List<String> failures = new ArrayList<>();
        Duration longest = Duration.ZERO;
        int elections = 0;
        String[] range = System.getProperty("election.seeds", "1-" + SEEDS).split("-");
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            ElectionSimulation simulation = new ElectionSimulation(seed);
            try {
                simulation.playTrouble(MAX_TROUBLE.dividedBy(1 + seed % 7));
                simulation.calmWithOneHost();
                Duration time = simulation.timeUntilOwned(MAX_TIME_WITHOUT_OWNER);
                if (time == null) {
                    failures.add("seed " + seed + ": no owner");
                } else {
                    longest = time.compareTo(longest) > 0 ? time : longest;
                    simulation.advance(MAX_TIME_WITHOUT_OWNER.plus(TIME_AS_OWNER));
                    if (!simulation.owned()) {
                        failures.add("seed " + seed + ": the owner was not kept");
                    }
                }
            } catch (AssertionError error) {
                failures.add("seed " + seed + ": " + error.getMessage());
            }
            elections += simulation.elections();
        }
        assertThat(failures)
                .as("seeds that failed; longest time without an owner %s, %d elections", longest, elections)
                .isEmpty();
        assertThat(elections).as("elections in all").isGreaterThan(1);
    }
}
