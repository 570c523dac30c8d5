package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.disruption.MoveReason;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the evacuation of data centres in a cell of two hosts and two workers, one in data centre a and one in b, also
 * with faults of the store, the owner and the workers.
 */
final class EvacuationTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String OTHER_JOB_ID = "00000000000000bb";

    private static final Duration NOTICE_TIME = Duration.ofMillis(100);

    private final CellSession session = new CellSession();

    @BeforeEach
    void startTwoHosts() {
        addWorker("w1", "a");
        addWorker("w2", "b");
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    private void addWorker(String name, String dataCentre) {
        session.addWorker(name, 4_000).setDataCentre(dataCentre);
    }

    private void submit(String id, JobSpec spec) {
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + id);
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    private String nonOwner() {
        return owner().equals("h1") ? "h2" : "h1";
    }

    private void endTasks(String worker, String job) {
        session.worker(worker).running().stream()
                .filter(task -> task.job().value().equals(job))
                .forEach(task -> session.worker(worker).end(task, EndKind.DONE));
    }

    /** Evacuates one data centre and submits a job, so that its tasks run in the other one. */
    private void runOnW1(String id, JobSpec spec) {
        session.worker("w1").setReportedPercent(100);
        session.worker("w2").setReportedPercent(100);
        EvacuationRequests.evacuate(session, "b");
        session.advance(NOTICE_TIME);
        submit(id, spec);
        session.advance(Duration.ofMillis(500));
        EvacuationRequests.withdraw(session, "b");
        session.advance(NOTICE_TIME);
    }

    private static JobSpec job(StepSpec step) {
        return new JobSpec("work", List.of(step), 0, 0, 0);
    }

    @Test
    void evacuatedDataCentreGetsNoTaskUntilTheEvacuationIsWithdrawn() {
        EvacuationRequests.evacuate(session, "a");
        session.advance(NOTICE_TIME);
        submit(JOB_ID, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofSeconds(2));
        assertThat(session.worker("w1").started()).isEmpty();
        assertThat(session.worker("w2").running()).hasSize(4);
        EvacuationRequests.withdraw(session, "a");
        session.advance(Duration.ofMillis(300));
        assertThat(session.worker("w1").running()).hasSize(4);
    }

    @Test
    void shortTasksInAnEvacuatedDataCentreRunToTheirEnd() {
        submit(JOB_ID, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofMillis(500));
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").running()).hasSize(4);
        endTasks("w1", JOB_ID);
        endTasks("w2", JOB_ID);
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w1").started()).hasSize(4);
        assertThat(session.worker("w2").started()).hasSize(4);
    }

    /** The owner is confirmed as owner by the store's first answers, maybe before it has read the request. */
    @Test
    void evacuationRequestedDuringALongOutageOfTheStoreIsInForceBeforeTheNextStart() {
        for (int outageMillis = 5_000; outageMillis < 6_000; outageMillis += 50) {
            CellSession one = new CellSession();
            one.addWorker("w1", 4_000).setDataCentre("a");
            one.addWorker("w2", 4_000).setDataCentre("b");
            one.addHost("h1");
            one.advance(Duration.ofSeconds(3));
            one.call("h1", new CallerOperation.Submit(CellSession.job(16, 1_000, false)), "/q/" + JOB_ID);
            one.advance(Duration.ofMillis(500));
            one.store().setUnavailable(true);
            one.advance(Duration.ofMillis(500));
            EvacuationRequests.evacuate(one, "a");
            for (String name : List.of("w1", "w2")) {
                one.worker(name).running().forEach(task -> one.worker(name).end(task, EndKind.DONE));
            }
            one.advance(Duration.ofMillis(outageMillis));
            one.store().setUnavailable(false);
            one.advance(Duration.ofSeconds(3));
            assertThat(one.worker("w1").started())
                    .as("outage of %d ms", outageMillis)
                    .hasSize(4);
            assertThat(one.worker("w2").started())
                    .as("outage of %d ms", outageMillis)
                    .hasSize(8);
        }
    }

    /** Within the time for which the store's last answer holds, starts that were planned before may still be sent. */
    @Test
    void evacuationRequestedDuringAShortOutageOfTheStoreIsInForceFourSecondsLater() {
        submit(JOB_ID, CellSession.job(16, 1_000, false));
        session.advance(Duration.ofMillis(500));
        session.store().setUnavailable(true);
        session.advance(Duration.ofMillis(500));
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(2));
        session.store().setUnavailable(false);
        session.advance(Duration.ofSeconds(2));
        endTasks("w1", JOB_ID);
        endTasks("w2", JOB_ID);
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w1").started()).hasSize(4);
        assertThat(session.worker("w2").started()).hasSize(8);
    }

    @Test
    void successorOfAnOwnerThatDiedAfterTheRequestStartsNothingThere() {
        submit(JOB_ID, CellSession.job(16, 1_000, false));
        session.advance(Duration.ofMillis(500));
        EvacuationRequests.evacuate(session, "a");
        session.killHost(owner());
        session.store().endLeases();
        endTasks("w1", JOB_ID);
        endTasks("w2", JOB_ID);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").started()).hasSize(4);
        assertThat(session.worker("w2").started()).hasSize(8);
    }

    /** A successor that placed before it has read the requests would use an evacuated data centre. */
    @Test
    void nothingIsPlacedBeforeTheRequestsHaveBeenListed() {
        CellSession fresh = new CellSession();
        fresh.addWorker("w1", 4_000).setDataCentre("a");
        fresh.addWorker("w2", 4_000).setDataCentre("b");
        EvacuationRequests.evacuate(fresh, "a");
        fresh.store().setUnreadablePrefix("op/");
        fresh.addHost("h1");
        fresh.advance(Duration.ofSeconds(3));
        fresh.call("h1", new CallerOperation.Submit(CellSession.job(8, 1_000, false)), "/q/" + JOB_ID);
        fresh.advance(Duration.ofSeconds(2));
        assertThat(fresh.running(JOB_ID)).isEmpty();
        fresh.store().setUnreadablePrefix(null);
        fresh.advance(Duration.ofSeconds(1));
        assertThat(fresh.worker("w1").started()).isEmpty();
        assertThat(fresh.worker("w2").running()).hasSize(4);
    }

    /** Without comparing a complete list with the known keys, the removal would never be noticed. */
    @Test
    void removalInADroppedWatchHistoryEndsTheEvacuation() {
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(1));
        EvacuationRequests.withdraw(session, "a");
        session.store().dropHistory();
        session.advance(Duration.ofSeconds(1));
        submit(JOB_ID, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w1").running()).hasSize(4);
    }

    @Test
    void oneWithdrawalEndsAnEvacuationThatWasRequestedTwice() {
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(1));
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(1));
        EvacuationRequests.withdraw(session, "a");
        session.advance(NOTICE_TIME);
        submit(JOB_ID, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w1").running()).hasSize(4);
    }

    @Test
    void twoDataCentresCanBeEvacuatedAtOnce() {
        addWorker("w3", "c");
        EvacuationRequests.evacuate(session, "a");
        EvacuationRequests.evacuate(session, "b");
        session.advance(Duration.ofSeconds(2));
        submit(JOB_ID, CellSession.job(6, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w3").running()).hasSize(4);
        EvacuationRequests.withdraw(session, "b");
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w2").running()).hasSize(2);
        assertThat(session.worker("w1").started()).isEmpty();
    }

    @Test
    void workerThatAppearsInAnEvacuatedDataCentreGetsNoTask() {
        EvacuationRequests.evacuate(session, "c");
        session.advance(Duration.ofSeconds(1));
        addWorker("w3", "c");
        session.advance(Duration.ofSeconds(2));
        submit(JOB_ID, CellSession.job(12, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.running(JOB_ID)).hasSize(8);
        assertThat(session.worker("w3").started()).isEmpty();
    }

    /** The start waits for its commit while the request arrives. */
    @Test
    void plannedStartThatHasNotBeenSentIsDropped() {
        for (int i = 0; i < 20; i++) {
            CellSession slow = new CellSession(i);
            slow.addWorker("w1", 4_000).setDataCentre("a");
            slow.addHost("h1");
            slow.advance(Duration.ofSeconds(3));
            slow.varyStoreLatency(Duration.ofMillis(400));
            slow.call("h1", new CallerOperation.Submit(CellSession.job(4, 1_000, false)), "/q/" + JOB_ID);
            slow.advance(Duration.ofMillis(40));
            EvacuationRequests.evacuate(slow, "a");
            slow.advance(Duration.ofMillis(25));
            int started = slow.worker("w1").started().size();
            slow.advance(Duration.ofSeconds(2));
            assertThat(slow.worker("w1").started()).as("seed %d", i).hasSize(started);
        }
    }

    @Test
    void unansweredStartInAnEvacuatedDataCentreIsStoppedAndTheTaskRunsElsewhere() {
        EvacuationRequests.evacuate(session, "b");
        session.advance(NOTICE_TIME);
        session.worker("w1").setStartsLost(true);
        submit(JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofMillis(300));
        EvacuationRequests.evacuate(session, "a");
        EvacuationRequests.withdraw(session, "b");
        session.worker("w1").setStartsLost(false);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.worker("w1").started()).isEmpty();
        assertThat(session.worker("w2").running()).hasSize(1);
    }

    /** Two starts may take effect if the task is placed elsewhere before the outcome of the stop is known. */
    @Test
    void taskOfAnUnansweredStartIsPlacedElsewhereOnlyWhenTheOutcomeOfItsStopIsKnown() {
        EvacuationRequests.evacuate(session, "b");
        session.advance(NOTICE_TIME);
        session.worker("w1").setStartsLost(true);
        session.worker("w1").setStopsLost(true);
        submit(JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofMillis(300));
        EvacuationRequests.evacuate(session, "a");
        EvacuationRequests.withdraw(session, "b");
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w2").started()).isEmpty();
        session.worker("w1").setStopsLost(false);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.worker("w1").started()).isEmpty();
        assertThat(session.worker("w2").running()).hasSize(1);
    }

    @Test
    void withdrawalWhileAStartIsInFlightNeitherLosesNorDuplicatesTheTask() {
        for (int delayMillis = 0; delayMillis < 1_000; delayMillis += 50) {
            CellSession one = new CellSession();
            FakeWorker worker = one.addWorker("w1", 4_000);
            worker.setDataCentre("a");
            one.addHost("h1");
            one.advance(Duration.ofSeconds(3));
            worker.setStartDelayMillis(500);
            one.call("h1", new CallerOperation.Submit(CellSession.job(2, 1_000, false)), "/q/" + JOB_ID);
            one.advance(Duration.ofMillis(60));
            EvacuationRequests.evacuate(one, "a");
            one.advance(Duration.ofMillis(delayMillis));
            EvacuationRequests.withdraw(one, "a");
            worker.setStartDelayMillis(0);
            one.advance(Duration.ofSeconds(4));
            assertThat(one.running(JOB_ID))
                    .as("withdrawn after %d ms", delayMillis)
                    .hasSize(2)
                    .doesNotHaveDuplicates();
        }
    }

    @Test
    void startThatIsCarriedOutAfterItsStopIsRefusedAndTheTaskRunsElsewhere() {
        EvacuationRequests.evacuate(session, "b");
        session.advance(NOTICE_TIME);
        session.worker("w1").setStartDelayMillis(3_000);
        submit(JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofMillis(100));
        EvacuationRequests.evacuate(session, "a");
        EvacuationRequests.withdraw(session, "b");
        session.advance(Duration.ofSeconds(5));
        assertThat(session.worker("w1").started()).isEmpty();
        assertThat(session.worker("w2").running()).hasSize(1);
    }

    /** With a lease of 6 s the worker would carry the start out 4.8 s after the request, and one of 6 s later. */
    @Test
    void startThatIsDelayedOnItsWayIsRefusedAtTheLimitEvenIfNoStopReachesTheWorker() {
        EvacuationRequests.evacuate(session, "b");
        session.advance(NOTICE_TIME);
        session.worker("w1").setStartDelayMillis(4_900);
        submit(JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofMillis(100));
        session.worker("w1").setUnresponsive(true);
        EvacuationRequests.evacuate(session, "a");
        EvacuationRequests.withdraw(session, "b");
        session.advance(Duration.ofSeconds(12));
        assertThat(session.worker("w1").started()).isEmpty();
        assertThat(session.worker("w2").running()).hasSize(1);
    }

    @Test
    void hostThatIsCutOffFromTheStoreStartsNothingAfterFourSeconds() {
        submit(JOB_ID, CellSession.job(16, 1_000, false));
        session.advance(Duration.ofMillis(500));
        String former = owner();
        session.partitions().cutFromStore(former);
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(4));
        session.store().endLeases();
        endTasks("w1", JOB_ID);
        endTasks("w2", JOB_ID);
        session.advance(Duration.ofSeconds(4));
        assertThat(session.worker("w1").started()).hasSize(4);
        assertThat(session.worker("w2").started()).hasSize(8);
        assertThat(nonOwner()).isEqualTo(former);
    }

    /** Without the end of the reservation, the owner would stop short tasks for a long-running one that cannot start. */
    @Test
    void reservationOfAWorkerEndsWithTheEvacuationOfItsDataCentre() {
        submit(JOB_ID, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofMillis(500));
        submit(OTHER_JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(300));
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(4));
        assertThat(session.worker("w1").running()).hasSize(4);
        assertThat(session.worker("w2").running())
                .anyMatch(task -> task.job().value().equals(OTHER_JOB_ID));
    }

    @Test
    void longRunningTasksLeaveAnEvacuatedDataCentreOneAtATime() {
        runOnW1(JOB_ID, CellSession.job(3, 1_000, true));
        assertThat(session.worker("w1").running()).hasSize(3);
        EvacuationRequests.evacuate(session, "a");
        for (int i = 0; i < 1_000; i++) {
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(JOB_ID)).hasSizeGreaterThanOrEqualTo(2);
        }
        assertThat(session.worker("w2").running()).hasSize(3);
        assertThat(session.metrics().moves()).hasSize(3).containsOnly(MoveReason.EVACUATION);
    }

    /** A step with a task that has not come back would otherwise lose one after the other. */
    @Test
    void nextTaskOfAStepIsMovedOnlyWhenTheLastOneIsAtWork() {
        runOnW1(JOB_ID, CellSession.job(3, 1_000, true));
        session.worker("w2").setReportedPercent(40);
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").running()).hasSize(2);
        session.worker("w2").setReportedPercent(100);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w2").running()).hasSize(3);
    }

    @Test
    void longRunningTaskStaysUntilAnotherWorkerHasFreeCapacity() {
        runOnW1(JOB_ID, CellSession.job(1, 1_000, true));
        EvacuationRequests.evacuate(session, "a");
        EvacuationRequests.withdraw(session, "a");
        submit(OTHER_JOB_ID, CellSession.job(7, 1_000, false));
        session.advance(Duration.ofMillis(500));
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").running())
                .anyMatch(task -> task.job().value().equals(JOB_ID));
        assertThat(session.metrics().moves()).isEmpty();
        endTasks("w2", OTHER_JOB_ID);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w2").running())
                .anyMatch(task -> task.job().value().equals(JOB_ID));
    }

    /** The free capacity was reserved when the move was decided; short tasks that wait must not take it. */
    @Test
    void waitingShortTasksDoNotTakeTheCapacityThatAMoveNeeds() {
        runOnW1(JOB_ID, CellSession.job(1, 3_400, true));
        session.worker("w1").setStopsLost(true);
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofMillis(300));
        assertThat(session.metrics().moves()).hasSize(1);
        submit(OTHER_JOB_ID, CellSession.job(4, 1_000, false));
        session.advance(Duration.ofMillis(300));
        assertThat(session.worker("w2").running()).isEmpty();
        session.worker("w1").setStopsLost(false);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.running(JOB_ID)).hasSize(1);
        assertThat(session.worker("w2").running())
                .allMatch(task -> task.job().value().equals(JOB_ID));
    }

    /** Beside a best-effort task of unknown effect, the moved task might miss its response time target. */
    @Test
    void latencyCriticalTaskIsNotMovedBesideABestEffortTaskOfUnknownEffect() {
        EvacuationRequests.evacuate(session, "a");
        session.advance(NOTICE_TIME);
        submit(OTHER_JOB_ID, job(SampleSteps.bestEffort("filler", 1_000)));
        session.advance(Duration.ofMillis(500));
        assertThat(session.worker("w2").running()).hasSize(1);
        EvacuationRequests.withdraw(session, "a");
        runOnW1(JOB_ID, job(SampleSteps.latencyCritical("service", 1_000, 10)));
        assertThat(session.worker("w1").running()).hasSize(1);
        EvacuationRequests.evacuate(session, "a");
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").running()).hasSize(1);
        endTasks("w2", OTHER_JOB_ID);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w2").running())
                .hasSize(1)
                .allMatch(task -> task.job().value().equals(JOB_ID));
    }

    @Test
    void refusesLongRunningJobsThatOnlyAnEvacuatedDataCentreHasRoomFor() {
        EvacuationRequests.evacuate(session, "a");
        session.advance(NOTICE_TIME);
        List<?> replies =
                session.call("h1", new CallerOperation.Submit(CellSession.job(5, 1_000, true)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(1));
        assertThat(replies).hasSize(1);
        assertThat(replies.get(0).getClass().getSimpleName()).isEqualTo("Refused");
        assertThat(session.running(JOB_ID)).isEmpty();
    }
}
