package org.flamingopitch.scheduler.cell.speculation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against copies that cost more than they save, and against missing copies of stragglers. */
final class StragglerPolicyTest {

    private static final CopyCapacity IDLE = new CopyCapacity(100_000, 0, 0, CopyCapacity.NONE_WAITS);

    private static final CopyCapacity FULL = new CopyCapacity(100_000, 100_000, 0, CopyCapacity.NONE_WAITS);

    private static final long FAR = 1_000_000;

    private final DurationDistribution durations = distribution(500);

    private static DurationDistribution distribution(int runs) {
        DurationDistribution distribution = new DurationDistribution();
        for (int i = 0; i < runs; i++) {
            distribution.record(i % 33 == 0 ? 7 : 1);
        }
        return distribution;
    }

    private static SpeculativeStep.OpenTask running(long elapsedMillis) {
        return new SpeculativeStep.OpenTask(List.of(new RunProgress(elapsedMillis, 0, 0, 0, elapsedMillis)), true);
    }

    private static SpeculativeStep.OpenTask reported(long elapsedMillis, double percent, long atMillis) {
        return new SpeculativeStep.OpenTask(
                List.of(new RunProgress(elapsedMillis, percent, percent, atMillis, elapsedMillis - atMillis)), true);
    }

    private static SpeculativeStep.OpenTask waiting() {
        return new SpeculativeStep.OpenTask(List.of(), false);
    }

    private List<CopyProposal> propose(CopyCapacity capacity, SpeculativeStep.OpenTask... tasks) {
        return StragglerPolicy.propose(new SpeculativeStep(durations, 1_000, FAR, FAR, List.of(tasks)), capacity);
    }

    @Test
    void runThatOutlastsTheOthersOfItsQueueGetsACopy() {
        assertThat(propose(IDLE, running(900))).isEmpty();
        assertThat(propose(IDLE, running(1_200))).hasSize(1);
        assertThat(propose(IDLE, running(1_200)).get(0).remainingMillis()).isBetween(5_000L, 6_500L);
    }

    @Test
    void copyMustSaveMoreInAFullCell() {
        SpeculativeStep.OpenTask twoMoreSeconds = reported(2_000, 50, 2_000);
        assertThat(propose(IDLE, twoMoreSeconds)).hasSize(1);
        assertThat(propose(FULL, twoMoreSeconds)).isEmpty();
        assertThat(propose(FULL, reported(2_000, 40, 2_000))).hasSize(1);
    }

    /** A run whose progress shows that it is nearly done needs no copy, however long it has lasted. */
    @Test
    void reportedProgressDecidesBeforeTheDistribution() {
        assertThat(propose(IDLE, reported(3_000, 80, 2_900))).isEmpty();
        assertThat(propose(IDLE, reported(700, 10, 700))).hasSize(1);
    }

    @Test
    void runThatIsOverdueByItsOwnProgressIsJudgedByTheDistribution() {
        assertThat(propose(IDLE, reported(5_000, 90, 1_500))).hasSize(1);
    }

    @Test
    void copyThatDoesNotLetTheStepEndEarlierIsNotStarted() {
        SpeculativeStep.OpenTask uncopyable =
                new SpeculativeStep.OpenTask(List.of(new RunProgress(1_500, 20, 20, 1_500, 0)), false);
        assertThat(propose(IDLE, reported(1_500, 20, 1_500), uncopyable)).isEmpty();
    }

    @Test
    void allStragglersOfAStepGetCopies() {
        assertThat(propose(IDLE, running(1_200), running(300), running(1_300), waiting()))
                .extracting(CopyProposal::task)
                .containsExactly(0, 2);
    }

    @Test
    void taskWithACopyCountsWithTheEarlierEnd() {
        SpeculativeStep.OpenTask pair = new SpeculativeStep.OpenTask(
                List.of(new RunProgress(1_500, 20, 20, 1_500, 0), new RunProgress(100, 0, 0, 0, 100)), false);
        assertThat(propose(IDLE, pair, running(1_200))).hasSize(1);
    }

    @Test
    void fewRunsOrAMissingEstimateGiveNoCopies() {
        SpeculativeStep unknown = new SpeculativeStep(distribution(30), 1_000, FAR, FAR, List.of(running(9_000)));
        SpeculativeStep unestimated = new SpeculativeStep(durations, 0, FAR, FAR, List.of(running(9_000)));
        assertThat(StragglerPolicy.propose(unknown, IDLE)).isEmpty();
        assertThat(StragglerPolicy.propose(unestimated, IDLE)).isEmpty();
    }

    @Test
    void jobThatWouldHaveNoValueAnyMoreGetsNoCopies() {
        SpeculativeStep worthless = new SpeculativeStep(durations, 1_000, -5_000, 900, List.of(running(1_200)));
        assertThat(StragglerPolicy.propose(worthless, IDLE)).isEmpty();
    }

    @Test
    void copyThatSavesTheObjectiveIsMarked() {
        SpeculativeStep saved = new SpeculativeStep(durations, 1_000, 1_500, FAR, List.of(running(1_200)));
        SpeculativeStep lost = new SpeculativeStep(durations, 1_000, 500, FAR, List.of(running(1_200)));
        assertThat(StragglerPolicy.propose(saved, IDLE).get(0).savesObjective()).isTrue();
        assertThat(StragglerPolicy.propose(lost, IDLE).get(0).savesObjective()).isFalse();
    }

    @Test
    void copiesReserveAtMostATwentiethAndYieldToWaitingTasks() {
        assertThat(IDLE.admits(5_000, 0)).isTrue();
        assertThat(IDLE.admits(5_001, 0)).isFalse();
        assertThat(IDLE.withCopy(4_000).admits(1_001, 0)).isFalse();
        CopyCapacity contended = new CopyCapacity(100_000, 0, 0, 1);
        assertThat(contended.admits(1_000, 0)).isTrue();
        assertThat(contended.admits(1_000, 1)).isFalse();
        assertThat(contended.admits(1_000, 2)).isFalse();
    }
}
