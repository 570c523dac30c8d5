package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a cell of two hosts and two workers, also with faults of the store, of workers and of the owner. */
final class CellSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String JOB_PATH = "/q/" + JOB_ID;

    private static final String OTHER_JOB_ID = "00000000000000bb";

    private final CellSession session = new CellSession();

    @BeforeEach
    void startTwoHosts() {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    private List<CallerReply> submit(String host, String path, JobSpec spec) {
        return session.call(host, new CallerOperation.Submit(spec), path);
    }

    private void endAllTasks(EndKind kind) {
        for (String name : List.of("w1", "w2")) {
            session.worker(name).running().forEach(task -> session.worker(name).end(task, kind));
        }
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    private String nonOwner() {
        return owner().equals("h1") ? "h2" : "h1";
    }

    @Test
    void jobRunsItsStepsInOrderAndEndsAsDone() {
        JobSpec spec = new JobSpec(
                "work",
                List.of(SampleSteps.step(3, 1_000, false, List.of()), SampleSteps.step(2, 1_000, false, List.of(0))),
                0,
                0,
                0);
        List<CallerReply> accepted = submit(nonOwner(), JOB_PATH, spec);
        session.advance(Duration.ofMillis(300));
        assertThat(accepted).containsExactly(new CallerReply.Done());
        assertThat(session.running(JOB_ID)).hasSize(3).allMatch(task -> task.step() == 0);
        endAllTasks(EndKind.DONE);
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(JOB_ID)).hasSize(2).allMatch(task -> task.step() == 1);
        endAllTasks(EndKind.DONE);
        session.advance(Duration.ofMillis(500));
        List<CallerReply> state = session.call("h1", new CallerOperation.Ask(), JOB_PATH);
        session.advance(Duration.ofMillis(100));
        assertThat(state).containsExactly(new CallerReply.State(JobState.DONE));
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").ended()).isEmpty();
        assertThat(session.worker("w2").ended()).isEmpty();
    }

    @Test
    void startedTasksNeverExceedTheCapacityOfAWorker() {
        submit("h1", JOB_PATH, CellSession.job(12, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.worker("w1").running()).hasSize(4);
        assertThat(session.worker("w2").running()).hasSize(4);
    }

    @Test
    void successorAdoptsRunningTasksAndStartsNoneTwice() {
        submit("h1", JOB_PATH, CellSession.job(4, 1_000, false));
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(JOB_ID)).hasSize(4);
        String survivor = nonOwner();
        session.killHost(owner());
        session.store().endLeases();
        session.advance(Duration.ofSeconds(2));
        assertThat(owner()).isEqualTo(survivor);
        assertThat(session.running(JOB_ID)).hasSize(4).doesNotHaveDuplicates();
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(4);
        endAllTasks(EndKind.DONE);
        session.advance(Duration.ofMillis(800));
        List<CallerReply> state = session.call(survivor, new CallerOperation.Ask(), JOB_PATH);
        session.advance(Duration.ofMillis(100));
        assertThat(state).containsExactly(new CallerReply.State(JobState.DONE));
    }

    @Test
    void submissionWithUnansweredCommitHasUnknownOutcomeAtItsDeadline() {
        session.store().setAnswersLost(true);
        List<CallerReply> replies = submit(owner(), JOB_PATH, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofSeconds(3));
        assertThat(replies).hasSize(1);
        assertThat(replies.get(0)).isInstanceOf(CallerReply.InDoubt.class);
    }

    @Test
    void refusalOfASuccessorIsFinalForASubmissionThatItsPredecessorDidNotCommit() {
        session.store().setUnavailable(true);
        List<CallerReply> replies = submit(nonOwner(), JOB_PATH, CellSession.job(2, 3_000, true));
        session.advance(Duration.ofMillis(20));
        assertThat(replies).isEmpty();
        session.killHost(owner());
        session.worker("w2").setDraining(true);
        session.store().setUnavailable(false);
        session.store().endLeases();
        session.advance(Duration.ofMillis(2_500));
        assertThat(replies).hasSize(1).allMatch(reply -> reply instanceof CallerReply.Refused);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.running(JOB_ID)).isEmpty();
    }

    @Test
    void repeatedSubmissionOfAStoredJobIsNotRefusedWhileTheOwnerIsUnreachable() {
        JobSpec spec = CellSession.job(1, 1_000, true);
        submit("h1", JOB_PATH, spec);
        session.advance(Duration.ofMillis(500));
        String survivor = nonOwner();
        session.killHost(owner());
        List<CallerReply> repeated = submit(survivor, JOB_PATH, spec);
        List<CallerReply> other = submit(survivor, "/q/" + OTHER_JOB_ID, spec);
        session.advance(Duration.ofSeconds(3));
        assertThat(repeated).containsExactly(new CallerReply.Done());
        assertThat(other).hasSize(1).allMatch(reply -> reply instanceof CallerReply.InDoubt);
    }

    @Test
    void submissionIsRefusedWhenNoOwnerExistsAndTheJobIsNotStored() {
        String survivor = nonOwner();
        session.node(survivor).drain();
        session.killHost(owner());
        session.store().endLeases();
        List<CallerReply> replies = submit(survivor, JOB_PATH, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofSeconds(3));
        assertThat(replies).hasSize(1).allMatch(reply -> reply instanceof CallerReply.Refused);
    }

    @Test
    void submissionWithAShortTimeoutReachesTheOwner() {
        CallerOperation submission = new CallerOperation.Submit(CellSession.job(1, 1_000, false));
        List<CallerReply> replies = session.call(nonOwner(), submission, JOB_PATH, Duration.ofMillis(200));
        session.advance(Duration.ofMillis(200));
        assertThat(replies).containsExactly(new CallerReply.Done());
    }

    @Test
    void lostStoreAnswersNeitherLoseNorDuplicateTasks() {
        session.store().setAnswersLost(true);
        submit(owner(), JOB_PATH, CellSession.job(2, 1_000, false));
        session.advance(Duration.ofMillis(600));
        session.store().setAnswersLost(false);
        session.advance(Duration.ofSeconds(2));
        List<CallerReply> resubmitted = submit(nonOwner(), JOB_PATH, CellSession.job(2, 1_000, false));
        session.advance(Duration.ofMillis(300));
        assertThat(resubmitted).containsExactly(new CallerReply.Done());
        assertThat(session.running(JOB_ID)).hasSize(2).doesNotHaveDuplicates();
    }

    @Test
    void storeOutageRefusesNewJobsAndKeepsAcceptedTasksRunning() {
        submit(owner(), JOB_PATH, CellSession.job(1, 1_000, true));
        session.advance(Duration.ofMillis(500));
        session.store().setUnavailable(true);
        session.advance(Duration.ofMillis(4_500));
        List<CallerReply> refused = submit(owner(), "/q/" + OTHER_JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofMillis(2_000));
        assertThat(refused).hasSize(1).allMatch(reply -> reply instanceof CallerReply.Refused);
        assertThat(session.running(JOB_ID)).hasSize(1);
        session.store().setUnavailable(false);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.running(JOB_ID)).hasSize(1);
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(1);
    }

    @Test
    void taskOfAnUnresponsiveWorkerStartsElsewhereOnlyAfterItsLease() {
        submit("h1", JOB_PATH, CellSession.job(1, 1_000, true));
        session.advance(Duration.ofMillis(500));
        String unresponsiveWorker = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        String otherWorker = unresponsiveWorker.equals("w1") ? "w2" : "w1";
        session.worker(unresponsiveWorker).setUnresponsive(true);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker(otherWorker).running()).isEmpty();
        session.advance(Duration.ofSeconds(7));
        assertThat(session.worker(otherWorker).running()).hasSize(1);
        assertThat(session.worker(unresponsiveWorker).running()).isEmpty();
    }

    @Test
    void taskOfARestartedWorkerStartsAgain() {
        submit("h1", JOB_PATH, CellSession.job(1, 1_000, true));
        session.advance(Duration.ofMillis(500));
        String name = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        session.worker(name).restart();
        session.advance(Duration.ofSeconds(4));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void unansweredStartIsResolvedBeforeTheTaskStartsElsewhere() {
        session.worker("w1").setStartsLost(true);
        submit("h1", JOB_PATH, CellSession.job(6, 1_000, false));
        session.advance(Duration.ofSeconds(6));
        assertThat(session.worker("w2").running()).hasSize(4);
        assertThat(session.running(JOB_ID)).doesNotHaveDuplicates();
    }

    @Test
    void longRunningTaskStartsWhenShortTasksUseAllCapacity() {
        submit("h1", JOB_PATH, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofMillis(500));
        submit("h1", "/q/" + OTHER_JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofSeconds(4));
        assertThat(session.running(OTHER_JOB_ID)).hasSize(1);
    }

    @Test
    void longRunningTaskMovesFromADrainingWorker() {
        submit("h1", JOB_PATH, CellSession.job(1, 1_000, true));
        session.advance(Duration.ofMillis(500));
        String name = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        session.worker(name).setDraining(true);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.worker(name).running()).isEmpty();
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void jobFailsWhenAllAttemptsHaveFailed() {
        submit("h1", JOB_PATH, CellSession.job(1, 1_000, false));
        for (int i = 0; i < 3; i++) {
            session.advance(Duration.ofSeconds(1));
            endAllTasks(EndKind.FAILED);
        }
        session.advance(Duration.ofSeconds(2));
        List<CallerReply> state = session.call("h1", new CallerOperation.Ask(), JOB_PATH);
        session.advance(Duration.ofMillis(100));
        assertThat(state).containsExactly(new CallerReply.State(JobState.FAILED));
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(3);
    }

    @Test
    void cancelledJobStopsItsTasksAndStartsNoMore() {
        submit("h1", JOB_PATH, CellSession.job(12, 1_000, false));
        session.advance(Duration.ofMillis(500));
        List<CallerReply> cancelled = session.call("h2", new CallerOperation.Cancel(), JOB_PATH);
        session.advance(Duration.ofSeconds(2));
        assertThat(cancelled).containsExactly(new CallerReply.Done());
        assertThat(session.running(JOB_ID)).isEmpty();
    }

    @Test
    void drainingOwnerIsReplacedWithoutLosingRuns() {
        submit("h1", JOB_PATH, CellSession.job(2, 1_000, true));
        session.advance(Duration.ofMillis(500));
        String former = owner();
        String next = nonOwner();
        session.node(former).drain();
        session.advance(Duration.ofMillis(800));
        assertThat(owner()).isEqualTo(next);
        assertThat(session.running(JOB_ID)).hasSize(2);
        session.advance(Duration.ofSeconds(8));
        assertThat(session.running(JOB_ID))
                .hasSize(2)
                .extracting(TaskRef::index)
                .containsExactlyInAnyOrder(0, 1);
    }

    @Test
    void ownerGivesUpTheCellAfterAnUnexpectedErrorAndNoRunIsLostOrDoubled() {
        submit("h1", JOB_PATH, CellSession.job(2, 1_000, true));
        session.advance(Duration.ofMillis(500));
        session.node(owner()).handleUnexpectedError(new IllegalStateException("injected"));
        session.advance(Duration.ofSeconds(2));
        assertThat(session.running(JOB_ID)).hasSize(2).doesNotHaveDuplicates();
        List<CallerReply> accepted = submit("h1", "/q/" + OTHER_JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(accepted).containsExactly(new CallerReply.Done());
        assertThat(session.running(OTHER_JOB_ID)).hasSize(1);
    }

    @Test
    void weakOwnerHandsTheCellOverToAStrongHostAndEveryTaskRunsOnce() {
        submit("h1", JOB_PATH, CellSession.job(3, 1_000, true));
        session.advance(Duration.ofMillis(500));
        session.addHost("strong", 4);
        session.advance(Duration.ofSeconds(4));
        assertThat(session.node("strong").ownsCell()).isTrue();
        assertThat(session.node("h1").ownsCell() || session.node("h2").ownsCell())
                .isFalse();
        assertThat(session.running(JOB_ID)).hasSize(3).doesNotHaveDuplicates();
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(3);
        List<CallerReply> accepted = submit("h1", "/q/" + OTHER_JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(accepted).containsExactly(new CallerReply.Done());
        session.advance(Duration.ofSeconds(8));
        assertThat(session.running(JOB_ID)).hasSize(3).doesNotHaveDuplicates();
    }

    /** A worker that only leaves stops unanswered for a while must not lose its other work. */
    @Test
    void unansweredStopOfAnOldRunDoesNotEndTheOtherRunsOfItsWorker() {
        submit("h1", JOB_PATH, CellSession.job(1, 3_000, true));
        submit("h1", "/q/" + OTHER_JOB_ID, CellSession.job(2, 500, true));
        session.advance(Duration.ofSeconds(20));
        session.worker("w1").setStopsLost(true);
        session.worker("w2").setStopsLost(true);
        session.call("h2", new CallerOperation.Cancel(), JOB_PATH);
        session.advance(Duration.ofMillis(7_500));
        session.worker("w1").setStopsLost(false);
        session.worker("w2").setStopsLost(false);
        session.advance(Duration.ofSeconds(4));
        assertThat(session.running(JOB_ID)).isEmpty();
        assertThat(session.running(OTHER_JOB_ID)).hasSize(2);
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(3);
    }

    /** The monotonic clock stands still during a suspension, so the owner's own time limits do not show it. */
    @Test
    void ownerThatWasSuspendedPastItsLeaseStartsNothing() {
        submit("h1", JOB_PATH, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofMillis(500));
        submit("h1", "/q/" + OTHER_JOB_ID, CellSession.job(4, 1_000, false));
        session.advance(Duration.ofMillis(300));
        String former = owner();
        String next = nonOwner();
        session.store().endLeases();
        session.suspendHost(former, Duration.ofSeconds(4));
        assertThat(owner()).isEqualTo(next);
        endAllTasks(EndKind.DONE);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.node(former).ownsCell()).isFalse();
        assertThat(session.running(OTHER_JOB_ID)).hasSize(4).doesNotHaveDuplicates();
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(12);
    }

    @Test
    void queueThatWasWithdrawnStaysWithdrawnAfterARestart() {
        submit("h1", JOB_PATH, CellSession.job(1, 1_000, true));
        session.advance(Duration.ofMillis(500));
        session.configure(new CellConfiguration(2, List.of(), 100_000));
        assertThat(submit("h1", "/q/" + OTHER_JOB_ID, CellSession.job(1, 1_000, false)))
                .containsExactly(new CallerReply.NoQueue());
        session.killHost("h1");
        session.killHost("h2");
        session.store().endLeases();
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        assertThat(submit("h2", "/q/" + OTHER_JOB_ID, CellSession.job(1, 1_000, false)))
                .containsExactly(new CallerReply.NoQueue());
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void workerThatHasLeftIsNotUsedAfterARestartOfTheOwner() {
        session.removeWorker("w1");
        session.advance(Duration.ofSeconds(5));
        session.killHost("h1");
        session.killHost("h2");
        session.store().endLeases();
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        submit("h1", JOB_PATH, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofSeconds(2));
        assertThat(session.running(JOB_ID)).hasSize(4);
        assertThat(session.worker("w2").running()).hasSize(4);
    }

    /** With a submission every 5 ms and a slower store, a change is always waiting to be committed. */
    @Test
    void drainingOwnerUnderLoadHandsTheCellOverAndLosesNoSubmission() {
        session.varyStoreLatency(Duration.ofMillis(40));
        String former = owner();
        String next = nonOwner();
        List<List<CallerReply>> replies = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            if (i == 100) {
                session.node(former).drain();
            }
            String path = "/q/" + String.format("%016x", i);
            replies.add(submit(next, path, CellSession.job(1, 1, false)));
            session.advance(Duration.ofMillis(5));
        }
        assertThat(session.node(next).ownsCell()).isTrue();
        assertThat(session.node(former).ownsCell()).isFalse();
        session.advance(Duration.ofSeconds(2));
        assertThat(replies).allMatch(each -> each.equals(List.of(new CallerReply.Done())));
    }

    @Test
    void gangJobIsRefusedAndNeverRuns() {
        StepSpec plain = SampleSteps.step(2, 1_000, false, List.of());
        StepSpec gang = new StepSpecBuilder()
                .count(2)
                .demand(plain.demand())
                .estimateMillis(1_000)
                .gang(true)
                .build();
        List<CallerReply> replies = submit("h1", JOB_PATH, new JobSpec("work", List.of(gang), 0, 0, 0));
        session.advance(Duration.ofSeconds(1));
        assertThat(replies).hasSize(1).allMatch(reply -> reply instanceof CallerReply.Refused);
        assertThat(session.running(JOB_ID)).isEmpty();
    }

    /** Another version may have written statistics that this one cannot read; the cell must not stay without owner. */
    @Test
    void successorTakesOverAlthoughTheLearnedStatisticsCannotBeRead() {
        submit("h1", JOB_PATH, CellSession.job(2, 1_000, true));
        session.advance(Duration.ofMillis(500));
        session.store()
                .apply(new KeyValueRequest.Transaction(
                        List.of(),
                        List.of(new KeyValueRequest.Write("flamingopitch/learned", "{\"durations\":7}", null)),
                        List.of()));
        String survivor = nonOwner();
        session.killHost(owner());
        session.store().endLeases();
        session.advance(Duration.ofSeconds(2));
        assertThat(session.node(survivor).ownsCell()).isTrue();
        List<CallerReply> accepted = submit(survivor, "/q/" + OTHER_JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(accepted).containsExactly(new CallerReply.Done());
        assertThat(session.running(JOB_ID)).hasSize(2).doesNotHaveDuplicates();
    }

    @Test
    void submissionsWithInvalidPathOrStepsAreRejected() {
        assertThat(submit("h1", "/q/short", CellSession.job(1, 1, false)))
                .allMatch(reply -> reply instanceof CallerReply.Malformed);
        assertThat(submit("h1", "/elsewhere/" + JOB_ID, CellSession.job(1, 1, false)))
                .containsExactly(new CallerReply.NoQueue());
        JobSpec selfDependent = new JobSpec("work", List.of(SampleSteps.step(1, 1, false, List.of(0))), 0, 0, 0);
        assertThat(submit("h1", JOB_PATH, selfDependent)).allMatch(reply -> reply instanceof CallerReply.Malformed);
    }
}
