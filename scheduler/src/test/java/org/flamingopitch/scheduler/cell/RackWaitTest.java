package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.locality.RackWaitOutcome;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Waits for a rack in a whole cell: tasks of one second take three times as long outside their rack, so that a wait may
 * last two seconds in total.
 */
final class RackWaitTest {

    private static final String NEAR_RACK = "r1";

    private static final String FAR_RACK = "r2";

    private static final String FIRST = "00000000000000a1";

    private static final String SECOND = "00000000000000a2";

    private static final String THIRD = "00000000000000a3";

    private static final Duration START_TIME = Duration.ofMillis(100);

    private static final Duration MAX_WAIT = Duration.ofSeconds(2);

    private final CellSession session = new CellSession();

    private FakeWorker near;

    private FakeWorker far;

    @BeforeEach
    void startHostAndWorkers() {
        session.setFarFactor(3);
        near = session.addWorker("near", 1_000);
        far = session.addWorker("far", 8_000);
        near.setRack(NEAR_RACK);
        far.setRack(FAR_RACK);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    private void submit(String job, StepSpec step) {
        JobSpec spec = new JobSpec("work", List.of(step), 0, 0, 0);
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + job);
    }

    private static StepSpec nearTask() {
        return SampleSteps.preferringRack(1, 1_000, NEAR_RACK);
    }

    private void fillRackAndLetATaskWait() {
        submit(FIRST, nearTask());
        session.advance(Duration.ofMillis(300));
        assertThat(runsOn(near, FIRST)).isEqualTo(1);
        submit(SECOND, nearTask());
        session.advance(START_TIME);
        assertThat(session.running(SECOND)).isEmpty();
    }

    private static long runsOn(FakeWorker worker, String job) {
        return worker.running().stream()
                .filter(task -> task.job().value().equals(job))
                .count();
    }

    @Test
    void taskWaitsForARackThatBecomesFreeInTime() {
        fillRackAndLetATaskWait();
        near.end(near.running().iterator().next(), EndKind.DONE);
        session.advance(Duration.ofMillis(450));
        assertThat(runsOn(near, SECOND)).isEqualTo(1);
        assertThat(session.metrics().rackWaitOutcomes()).containsExactly(RackWaitOutcome.NEAR);
    }

    @Test
    void taskIsPlacedFarWhenTheRackDoesNotBecomeFreeAndThePredictionKeepsMovingLater() {
        fillRackAndLetATaskWait();
        session.advance(MAX_WAIT);
        assertThat(runsOn(far, SECOND)).isEqualTo(1);
        assertThat(session.metrics().rackWaitOutcomes()).containsExactly(RackWaitOutcome.FAR);
    }

    @Test
    void taskThatWaitsDoesNotBlockOthersOfItsKind() {
        fillRackAndLetATaskWait();
        submit(THIRD, SampleSteps.step(1, 1_000, false, List.of()));
        session.advance(START_TIME);
        assertThat(runsOn(far, THIRD)).isEqualTo(1);
        assertThat(session.running(SECOND)).isEmpty();
    }

    @Test
    void taskThatWouldQueueForTooLongInAHotRackIsPlacedFarAtOnce() {
        fillRackAndLetATaskWait();
        submit(THIRD, nearTask());
        session.advance(START_TIME);
        assertThat(runsOn(far, THIRD)).isEqualTo(1);
        assertThat(session.running(SECOND)).isEmpty();
    }

    @Test
    void waitEndsWhenTheLastWorkerOfTheRackDrains() {
        fillRackAndLetATaskWait();
        near.setDraining(true);
        session.advance(Duration.ofMillis(950));
        assertThat(runsOn(far, SECOND)).isEqualTo(1);
        assertThat(session.metrics().rackWaitOutcomes()).containsExactly(RackWaitOutcome.LOST);
    }

    @Test
    void waitEndsWhenTheLastWorkerOfTheRackIsLost() {
        fillRackAndLetATaskWait();
        near.crash();
        session.advance(MAX_WAIT);
        assertThat(runsOn(far, SECOND)).isEqualTo(1);
        assertThat(session.metrics().rackWaitOutcomes()).containsExactly(RackWaitOutcome.LOST);
    }

    @Test
    void taskThatWaitsIsPlacedOnceAfterATakeover() {
        session.addHost("h2");
        fillRackAndLetATaskWait();
        session.killHost("h1");
        session.store().endLeases();
        session.advance(MAX_WAIT.multipliedBy(2));
        assertThat(session.node("h2").ownsCell()).isTrue();
        assertThat(runsOn(near, FIRST)).isEqualTo(1);
        assertThat(runsOn(far, SECOND)).isEqualTo(1);
        assertThat(far.started()).hasSize(1);
    }

    @Test
    void taskThatMayRunAnywhereLeavesTheRackToThoseThatPreferIt() {
        FakeWorker second = session.addWorker("near2", 1_000);
        second.setRack(NEAR_RACK);
        session.advance(Duration.ofSeconds(2));
        submit(FIRST, nearTask());
        session.advance(START_TIME);
        submit(SECOND, SampleSteps.step(1, 1_000, false, List.of()));
        session.advance(START_TIME);
        assertThat(runsOn(far, SECOND)).isEqualTo(1);
    }

    @Test
    void groupThatFitsIntoARackRunsThere() {
        submit(FIRST, SampleSteps.group(4, 1_000));
        session.advance(START_TIME);
        assertThat(runsOn(far, FIRST)).isEqualTo(4);
    }

    @Test
    void groupThatDoesNotFitIntoARackIsSpreadAndDoesNotWait() {
        submit(FIRST, SampleSteps.group(9, 1_000));
        session.advance(START_TIME);
        assertThat(runsOn(far, FIRST)).isEqualTo(8);
        assertThat(runsOn(near, FIRST)).isEqualTo(1);
    }

    @Test
    void restOfAGroupWaitsForItsRackIfThatIsSoonFree() {
        submit(FIRST, SampleSteps.step(8, 1_000, false, List.of()));
        session.advance(Duration.ofMillis(500));
        assertThat(runsOn(far, FIRST) + runsOn(near, FIRST)).isEqualTo(8);
        far.running().stream().limit(2).forEach(task -> far.end(task, EndKind.DONE));
        near.running().forEach(task -> near.end(task, EndKind.DONE));
        session.advance(START_TIME);
        submit(SECOND, SampleSteps.group(3, 1_000));
        session.advance(START_TIME);
        long startedInRack = runsOn(far, SECOND);
        assertThat(runsOn(near, SECOND)).isZero();
        far.running().stream()
                .filter(task -> task.job().value().equals(FIRST))
                .forEach(task -> far.end(task, EndKind.DONE));
        session.advance(START_TIME);
        assertThat(startedInRack).isBetween(2L, 3L);
        assertThat(runsOn(far, SECOND)).isEqualTo(3);
    }
}
