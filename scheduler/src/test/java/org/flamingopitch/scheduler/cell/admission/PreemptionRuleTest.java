package org.flamingopitch.scheduler.cell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.flamingopitch.scheduler.cell.admission.PreemptionRule.Occupant;
import org.flamingopitch.scheduler.cell.admission.PreemptionRule.Outlook;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** A preemption that discards more than it gains, or that a short wait makes needless, costs the callers work. */
final class PreemptionRuleTest {

    private static final Resources NEEDED = new Resources(3_900, 7_800, 0);

    private static final long STOP_MILLIS = 200;

    private static Occupant<String> bestEffort(String name, long remainingMillis, boolean throttled, long unsavedWork) {
        return new Occupant<>(name, new Resources(0, 6_400, 0), remainingMillis, true, throttled, unsavedWork);
    }

    private static Outlook<String> outlook(long freeMemory, List<Occupant<String>> occupants) {
        return PreemptionRule.outlook(NEEDED, new Resources(6_400, freeMemory, 0), occupants);
    }

    private static List<String> names(Outlook<String> outlook) {
        return outlook.victims().stream().map(Occupant::run).toList();
    }

    @Test
    void throttledTasksAndThoseWithTheLeastUnsavedWorkArePreemptedFirst() {
        List<Occupant<String>> occupants = List.of(
                bestEffort("much", 900, false, 3_000),
                bestEffort("little", 900, false, 1_000),
                bestEffort("paused", 900, true, 2_000));
        assertThat(names(outlook(1_400, occupants))).containsExactly("paused");
        assertThat(names(outlook(0, occupants))).containsExactly("paused", "little");
        assertThat(outlook(0, occupants).discardedWork()).isEqualTo(3_000);
    }

    @Test
    void nothingIsPreemptedWhereTheTaskDoesNotFitEvenThen() {
        Occupant<String> longRunning =
                new Occupant<>("service", new Resources(6_400, 13_000, 0), PreemptionRule.NEVER, false, false, 0);
        Outlook<String> outlook = PreemptionRule.outlook(
                NEEDED, new Resources(2_000, 0, 0), List.of(longRunning, bestEffort("b", 900, false, 10)));
        assertThat(outlook.victims()).isEmpty();
        assertThat(outlook.waitMillis()).isEqualTo(PreemptionRule.NEVER);
    }

    @Test
    void waitLastsUntilEnoughRunsHaveEnded() {
        List<Occupant<String>> occupants =
                List.of(bestEffort("late", 900, false, 0), bestEffort("soon", 150, false, 0));
        assertThat(outlook(1_400, occupants).waitMillis()).isEqualTo(150);
        assertThat(outlook(0, occupants).waitMillis()).isEqualTo(900);
    }

    @Test
    void preemptionPaysOnlyIfTheWaitIsLongAndTheDiscardedWorkLessThanTheTask() {
        long taskWork = 3_900 * 800;
        Outlook<String> cheap = outlook(1_400, List.of(bestEffort("b", 900, false, taskWork - 1)));
        Outlook<String> expensive = outlook(1_400, List.of(bestEffort("b", 900, false, taskWork)));
        assertThat(PreemptionRule.pays(900, STOP_MILLIS, taskWork, cheap)).isTrue();
        assertThat(PreemptionRule.pays(STOP_MILLIS, STOP_MILLIS, taskWork, cheap))
                .isFalse();
        assertThat(PreemptionRule.pays(900, STOP_MILLIS, taskWork, expensive)).isFalse();
    }

    @Test
    void stopDiscardsTheWorkSinceTheLastCheckpointAndTheTimeToResume() {
        assertThat(PreemptionRule.unsavedMillis(3_400, true, 1_500, 150)).isEqualTo(550);
        assertThat(PreemptionRule.unsavedMillis(3_400, true, 0, 150)).isEqualTo(3_550);
        assertThat(PreemptionRule.unsavedMillis(3_400, false, 1_500, 150)).isEqualTo(3_400);
    }
}
