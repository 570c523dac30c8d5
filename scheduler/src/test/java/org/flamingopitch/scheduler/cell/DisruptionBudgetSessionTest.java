package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.disruption.MoveReason;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how many long-running tasks of a step are down at the same time while workers drain. */
final class DisruptionBudgetSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final long LONG_DRAIN_MILLIS = 60_000;

    private final CellSession session = new CellSession();

    @BeforeEach
    void startTwoHosts() {
        for (String name : List.of("w1", "w2", "w3")) {
            session.addWorker(name, 4_000).setReportedPercent(100);
        }
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    /** Submits long-running tasks; the first four run on w1, since long-running tasks are packed. */
    private void submit(int count, int maxUnavailable) {
        JobSpec spec =
                new JobSpec("work", List.of(SampleSteps.step(count, 1_000, true, List.of(), maxUnavailable)), 0, 0, 0);
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w1").running()).hasSize(4);
    }

    private String workerOfTheFifthTask() {
        return session.worker("w2").running().isEmpty() ? "w3" : "w2";
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    /** Advances the clock and returns the lowest number of tasks of the job that ran at any moment. */
    private int lowestRunning(Duration time) {
        int lowest = Integer.MAX_VALUE;
        for (long millis = 0; millis < time.toMillis(); millis += 5) {
            session.advance(Duration.ofMillis(5));
            lowest = Math.min(lowest, session.running(JOB_ID).size());
        }
        return lowest;
    }

    @Test
    void drainingWorkerLosesItsTasksOneAfterTheOther() {
        submit(4, 1);
        session.worker("w1").setDraining(true, LONG_DRAIN_MILLIS);
        assertThat(lowestRunning(Duration.ofSeconds(8))).isEqualTo(3);
        assertThat(session.worker("w1").running()).isEmpty();
        assertThat(session.running(JOB_ID)).hasSize(4);
        assertThat(session.metrics().moves()).hasSize(4).containsOnly(MoveReason.DRAINING);
        assertThat(session.metrics().deferredMoves()).isEqualTo(3);
    }

    @Test
    void asManyTasksMoveAtOnceAsTheStepPermits() {
        submit(4, 2);
        session.worker("w1").setDraining(true, LONG_DRAIN_MILLIS);
        assertThat(lowestRunning(Duration.ofSeconds(8))).isEqualTo(2);
        assertThat(session.worker("w1").running()).isEmpty();
    }

    /** A task that was started again is not at work before its progress is full. */
    @Test
    void taskThatIsNotYetAtWorkCountsAsDown() {
        submit(4, 1);
        session.worker("w2").setReportedPercent(40);
        session.worker("w3").setReportedPercent(40);
        session.worker("w1").setDraining(true, LONG_DRAIN_MILLIS);
        session.advance(Duration.ofSeconds(8));
        assertThat(session.worker("w1").running()).hasSize(3);
    }

    /** A lost answer says nothing about the tasks of the worker, so it must not permit to stop them. */
    @Test
    void missedPollOfADrainingWorkerDoesNotLiftTheBudget() {
        submit(5, 1);
        session.worker(workerOfTheFifthTask()).setUnresponsive(true);
        session.advance(Duration.ofMillis(2_000));
        session.worker("w1").setUnresponsive(true);
        session.worker("w1").setDraining(true, LONG_DRAIN_MILLIS);
        session.advance(Duration.ofMillis(1_500));
        session.worker("w1").setUnresponsive(false);
        session.advance(Duration.ofMillis(1_000));
        assertThat(session.worker("w1").running()).hasSize(4);
    }

    /** The platform would count the tasks of both workers as down. */
    @Test
    void taskOnASilentWorkerCountsAsDown() {
        submit(5, 1);
        String other = workerOfTheFifthTask();
        session.worker(other).setUnresponsive(true);
        session.advance(Duration.ofMillis(2_500));
        session.worker("w1").setDraining(true, LONG_DRAIN_MILLIS);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.worker("w1").running()).hasSize(4);
        session.worker(other).setUnresponsive(false);
        session.advance(Duration.ofSeconds(10));
        assertThat(session.worker("w1").running()).isEmpty();
        assertThat(session.running(JOB_ID)).hasSize(5);
    }

    @Test
    void drainingWorkerOfUnknownRemainingTimeLosesAllTasksAfterTwoSeconds() {
        submit(4, 1);
        session.worker("w2").setReportedPercent(40);
        session.worker("w3").setReportedPercent(40);
        session.worker("w1").setDraining(true);
        session.advance(Duration.ofMillis(1_900));
        assertThat(session.worker("w1").running()).hasSize(3);
        session.advance(Duration.ofMillis(1_200));
        assertThat(session.worker("w1").running()).isEmpty();
    }

    @Test
    void drainingWorkerThatEndsSoonLosesAllTasks() {
        submit(4, 1);
        session.worker("w2").setReportedPercent(40);
        session.worker("w3").setReportedPercent(40);
        session.worker("w1").setDraining(true, 5_000);
        session.advance(Duration.ofMillis(3_300));
        assertThat(session.worker("w1").running()).hasSize(3);
        session.advance(Duration.ofMillis(1_200));
        assertThat(session.worker("w1").running()).isEmpty();
    }

    /** The successor knows only from the records that the task on the unreachable worker was started. */
    @Test
    void successorStopsNoTaskBeforeAllTasksOfTheStepAreReported() {
        submit(5, 2);
        String former = owner();
        String successor = former.equals("h1") ? "h2" : "h1";
        session.partitions().cutFromWorker(successor, workerOfTheFifthTask());
        session.worker("w1").setDraining(true, LONG_DRAIN_MILLIS);
        session.killHost(former);
        session.store().endLeases();
        session.advance(Duration.ofSeconds(4));
        assertThat(session.node(successor).ownsCell()).isTrue();
        assertThat(session.worker("w1").running()).hasSize(4);
        assertThat(session.metrics().moves()).isEmpty();
        session.advance(Duration.ofSeconds(20));
        assertThat(session.worker("w1").running()).isEmpty();
    }

    @Test
    void evacuationWaitsForATaskThatIsDownForAnotherCause() {
        session.worker("w1").setDataCentre("a");
        submit(5, 1);
        String other = workerOfTheFifthTask();
        session.worker(other).setReportedPercent(40);
        session.advance(Duration.ofSeconds(1));
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(4));
        assertThat(session.worker("w1").running()).hasSize(4);
        session.worker(other).setReportedPercent(100);
        assertThat(lowestRunning(Duration.ofSeconds(8))).isEqualTo(4);
        assertThat(session.worker("w1").running()).isEmpty();
    }
}
