package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.entry.CallerVerb;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sessions of whole cells: hosts, workers and the store, with faults. */
final class CellSessionTest {

    private static final String ID = "00000000000000aa";

    private static final String PATH = "/q/" + ID;

    private static final String OTHER_ID = "00000000000000bb";

    private final CellSession session = new CellSession();

    @BeforeEach
    void startTwoHosts() {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.addHost("h2");
        session.run(Duration.ofSeconds(3));
    }

    private List<CallerReply> submit(String host, String path, JobSpec spec) {
        return session.call(host, new CallerVerb.Submit(spec), path);
    }

    private void endAll(EndKind kind) {
        for (String name : List.of("w1", "w2")) {
            session.worker(name).running().forEach(task -> session.worker(name).end(task, kind));
        }
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    private String other() {
        return owner().equals("h1") ? "h2" : "h1";
    }

    @Test
    void jobRunsItsStepsInOrderAndIsShownAsDone() {
        JobSpec spec = new JobSpec(
                "work",
                List.of(CellSession.step(3, 1_000, false, List.of()), CellSession.step(2, 1_000, false, List.of(0))),
                0,
                0,
                0);
        List<CallerReply> accepted = submit(other(), PATH, spec);
        session.run(Duration.ofMillis(300));
        assertThat(accepted).containsExactly(new CallerReply.Done());
        assertThat(session.running(ID)).hasSize(3).allMatch(task -> task.step() == 0);
        endAll(EndKind.DONE);
        session.run(Duration.ofMillis(500));
        assertThat(session.running(ID)).hasSize(2).allMatch(task -> task.step() == 1);
        endAll(EndKind.DONE);
        session.run(Duration.ofMillis(500));
        List<CallerReply> state = session.call("h1", new CallerVerb.Ask(), PATH);
        session.run(Duration.ofMillis(100));
        assertThat(state).containsExactly(new CallerReply.State(JobState.DONE));
        session.run(Duration.ofSeconds(3));
        assertThat(session.worker("w1").ended()).isEmpty();
        assertThat(session.worker("w2").ended()).isEmpty();
    }

    @Test
    void noWorkerGetsMoreThanItHolds() {
        submit("h1", PATH, CellSession.job(12, 1_000, false));
        session.run(Duration.ofSeconds(1));
        assertThat(session.worker("w1").running()).hasSize(4);
        assertThat(session.worker("w2").running()).hasSize(4);
    }

    @Test
    void successorAdoptsWhatRunsAndStartsNothingTwice() {
        submit("h1", PATH, CellSession.job(4, 1_000, false));
        session.run(Duration.ofMillis(500));
        assertThat(session.running(ID)).hasSize(4);
        String survivor = other();
        session.kill(owner());
        session.store().endLeases();
        session.run(Duration.ofSeconds(2));
        assertThat(owner()).isEqualTo(survivor);
        assertThat(session.running(ID)).hasSize(4).doesNotHaveDuplicates();
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(4);
        endAll(EndKind.DONE);
        session.run(Duration.ofMillis(800));
        List<CallerReply> state = session.call(survivor, new CallerVerb.Ask(), PATH);
        session.run(Duration.ofMillis(100));
        assertThat(state).containsExactly(new CallerReply.State(JobState.DONE));
    }

    @Test
    void submissionUnderWayAtItsDeadlineIsNotSaidToBeRefused() {
        session.store().setLosesAnswers(true);
        List<CallerReply> replies = submit(owner(), PATH, CellSession.job(1, 1_000, false));
        session.run(Duration.ofSeconds(3));
        assertThat(replies).hasSize(1);
        assertThat(replies.get(0)).isInstanceOf(CallerReply.InDoubt.class);
    }

    @Test
    void lostAnswersOfTheStoreChangeNothing() {
        session.store().setLosesAnswers(true);
        submit(owner(), PATH, CellSession.job(2, 1_000, false));
        session.run(Duration.ofMillis(600));
        session.store().setLosesAnswers(false);
        session.run(Duration.ofSeconds(2));
        List<CallerReply> again = submit(other(), PATH, CellSession.job(2, 1_000, false));
        session.run(Duration.ofMillis(300));
        assertThat(again).containsExactly(new CallerReply.Done());
        assertThat(session.running(ID)).hasSize(2).doesNotHaveDuplicates();
    }

    @Test
    void newWorkIsRefusedWhileTheStoreIsAwayAndAcceptedWorkGoesOn() {
        submit(owner(), PATH, CellSession.job(1, 1_000, true));
        session.run(Duration.ofMillis(500));
        session.store().setDown(true);
        session.run(Duration.ofMillis(4_500));
        List<CallerReply> refused = submit(owner(), "/q/" + OTHER_ID, CellSession.job(1, 1_000, false));
        session.run(Duration.ofMillis(2_000));
        assertThat(refused).hasSize(1).allMatch(reply -> reply instanceof CallerReply.Refused);
        assertThat(session.running(ID)).hasSize(1);
        session.store().setDown(false);
        session.run(Duration.ofSeconds(3));
        assertThat(session.running(ID)).hasSize(1);
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(1);
    }

    @Test
    void taskOnADarkWorkerStartsElsewhereOnlyAfterItsLease() {
        submit("h1", PATH, CellSession.job(1, 1_000, true));
        session.run(Duration.ofMillis(500));
        String first = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        String second = first.equals("w1") ? "w2" : "w1";
        session.worker(first).setDark(true);
        session.run(Duration.ofSeconds(3));
        assertThat(session.worker(second).running()).isEmpty();
        session.run(Duration.ofSeconds(7));
        assertThat(session.worker(second).running()).hasSize(1);
        assertThat(session.worker(first).running()).isEmpty();
    }

    @Test
    void taskOfARestartedWorkerStartsAgain() {
        submit("h1", PATH, CellSession.job(1, 1_000, true));
        session.run(Duration.ofMillis(500));
        String name = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        session.worker(name).restart();
        session.run(Duration.ofSeconds(4));
        assertThat(session.running(ID)).hasSize(1);
    }

    @Test
    void unansweredStartIsSettledBeforeTheTaskStartsElsewhere() {
        session.worker("w1").setLosesStarts(true);
        submit("h1", PATH, CellSession.job(6, 1_000, false));
        session.run(Duration.ofSeconds(6));
        assertThat(session.worker("w2").running()).hasSize(4);
        assertThat(session.running(ID)).doesNotHaveDuplicates();
    }

    @Test
    void lastingTaskFindsRoomAmongShortOnes() {
        submit("h1", PATH, CellSession.job(8, 1_000, false));
        session.run(Duration.ofMillis(500));
        submit("h1", "/q/" + OTHER_ID, CellSession.job(1, 3_000, true));
        session.run(Duration.ofSeconds(4));
        assertThat(session.running(OTHER_ID)).hasSize(1);
    }

    @Test
    void drainingWorkerGetsNoNewTaskAndLastingOnesMove() {
        submit("h1", PATH, CellSession.job(1, 1_000, true));
        session.run(Duration.ofMillis(500));
        String name = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        session.worker(name).setDraining(true);
        session.run(Duration.ofSeconds(2));
        assertThat(session.worker(name).running()).isEmpty();
        assertThat(session.running(ID)).hasSize(1);
    }

    @Test
    void jobFailsAfterItsAttempts() {
        submit("h1", PATH, CellSession.job(1, 1_000, false));
        for (int i = 0; i < 3; i++) {
            session.run(Duration.ofSeconds(1));
            endAll(EndKind.FAILED);
        }
        session.run(Duration.ofSeconds(2));
        List<CallerReply> state = session.call("h1", new CallerVerb.Ask(), PATH);
        session.run(Duration.ofMillis(100));
        assertThat(state).containsExactly(new CallerReply.State(JobState.FAILED));
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(3);
    }

    @Test
    void cancelledJobIsStoppedAndStartsNothingMore() {
        submit("h1", PATH, CellSession.job(12, 1_000, false));
        session.run(Duration.ofMillis(500));
        List<CallerReply> cancelled = session.call("h2", new CallerVerb.Cancel(), PATH);
        session.run(Duration.ofSeconds(2));
        assertThat(cancelled).containsExactly(new CallerReply.Done());
        assertThat(session.running(ID)).isEmpty();
    }

    @Test
    void plannedHandOverLosesNoRun() {
        submit("h1", PATH, CellSession.job(2, 1_000, true));
        session.run(Duration.ofMillis(500));
        String former = owner();
        String next = other();
        session.node(former).drain();
        session.run(Duration.ofMillis(800));
        assertThat(owner()).isEqualTo(next);
        assertThat(session.running(ID)).hasSize(2);
        session.run(Duration.ofSeconds(8));
        assertThat(session.running(ID)).hasSize(2).extracting(TaskRef::index).containsExactlyInAnyOrder(0, 1);
    }

    @Test
    void jobsThatNeedWhatIsNotBuiltAreRefusedAndNeverRun() {
        StepSpec plain = CellSession.step(2, 1_000, false, List.of());
        StepSpec gang = new StepSpec(
                2,
                plain.demand(),
                1_000,
                List.of(),
                false,
                true,
                false,
                null,
                null,
                0,
                false,
                false,
                null,
                0,
                false,
                0);
        List<CallerReply> replies = submit("h1", PATH, new JobSpec("work", List.of(gang), 0, 0, 0));
        session.run(Duration.ofSeconds(1));
        assertThat(replies).hasSize(1).allMatch(reply -> reply instanceof CallerReply.Refused);
        assertThat(session.running(ID)).isEmpty();
    }

    @Test
    void malformedRequestsAreToldWhatIsWrong() {
        assertThat(submit("h1", "/q/short", CellSession.job(1, 1, false)))
                .allMatch(reply -> reply instanceof CallerReply.Malformed);
        assertThat(submit("h1", "/elsewhere/" + ID, CellSession.job(1, 1, false)))
                .containsExactly(new CallerReply.NoQueue());
        JobSpec forward = new JobSpec("work", List.of(CellSession.step(1, 1, false, List.of(0))), 0, 0, 0);
        assertThat(submit("h1", PATH, forward)).allMatch(reply -> reply instanceof CallerReply.Malformed);
    }
}
