package org.flamingopitch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that faults follow from the seed, and that a failed seed can be found by its line. */
final class FaultScheduleTest {

    @Test
    void sameSeedYieldsTheSameFaults() {
        assertThat(FaultSchedule.draw(new SplittableRandom(7))).isEqualTo(FaultSchedule.draw(new SplittableRandom(7)));
        assertThat(FaultSchedule.draw(new SplittableRandom(7)))
                .isNotEqualTo(FaultSchedule.draw(new SplittableRandom(8)));
    }

    @Test
    void noKindOfFaultIsLeftOutByFiftySeeds() {
        Set<FaultKind> drawn = EnumSet.noneOf(FaultKind.class);
        for (long seed = 1; seed <= 50; seed++) {
            FaultSchedule.draw(new SplittableRandom(seed))
                    .series()
                    .forEach(series -> series.forEach(fault -> drawn.add(fault.kind())));
        }
        assertThat(drawn).containsExactlyInAnyOrder(FaultKind.values());
    }

    @Test
    void lineOfAFailedSeedNamesTheRuleAndTheLogs() {
        SoakResult result = new SoakResult(
                7,
                3,
                2,
                Map.of(FaultKind.HOST_KILLED, 1),
                List.of(new BrokenRule(Rule.TWICE, 5, "task t")),
                Path.of("logs", "seed-7"));
        assertThat(result.passed()).isFalse();
        assertThat(result.line())
                .isEqualTo("seed 7 starts 3 ends 2 faults host_killed=1 broken 1: TWICE task t; logs: logs/seed-7");
    }
}
