package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A run that is missing from a report with more ends than it can list must not be taken for gone. */
final class IncompleteReportTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String JOB_PATH = "/q/" + JOB_ID;

    private static final int TASKS = 12;

    private final CellSession session = new CellSession();

    private FakeWorker worker;

    @BeforeEach
    void startTasksOnAWorkerThatListsFiveEnds() {
        worker = session.addWorker("w1", 16_000);
        worker.setMaxEndsPerReport(5);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(TASKS, 1_000, false)), JOB_PATH);
        session.advance(Duration.ofMillis(500));
        assertThat(worker.running()).hasSize(TASKS);
    }

    @Test
    void successorStartsNoTaskAgainWhoseEndIsNotInTheFirstReport() {
        String survivor = owner().equals("h1") ? "h2" : "h1";
        session.killHost(owner());
        endAllRuns(EndKind.DONE);
        session.store().endLeases();
        session.advance(Duration.ofSeconds(4));
        assertThat(worker.started()).hasSize(TASKS);
        assertThat(stateSeenBy(survivor)).containsExactly(new CallerReply.State(JobState.DONE));
    }

    @Test
    void ownerStartsNoTaskAgainWhoseEndIsNotInTheFirstReportAfterAnOutageOfTheStore() {
        session.store().setUnavailable(true);
        endAllRuns(EndKind.DONE);
        session.advance(Duration.ofMillis(3_500));
        session.store().setUnavailable(false);
        session.advance(Duration.ofSeconds(4));
        assertThat(worker.started()).hasSize(TASKS);
        assertThat(stateSeenBy(owner())).containsExactly(new CallerReply.State(JobState.DONE));
    }

    @Test
    void runsThatARestartedWorkerHasLostAreStartedAgain() {
        worker.restart();
        session.advance(Duration.ofSeconds(4));
        assertThat(worker.started()).hasSize(2 * TASKS);
    }

    @Test
    void stoppedRunIsNotTakenForGoneBeforeItsEndIsListed() {
        endAllRuns(EndKind.DONE);
        session.call(owner(), new CallerOperation.Cancel(), JOB_PATH);
        session.advance(Duration.ofSeconds(4));
        assertThat(worker.started()).hasSize(TASKS);
        assertThat(worker.ended()).isEmpty();
    }

    private void endAllRuns(EndKind kind) {
        List<TaskRef> running = List.copyOf(worker.running());
        running.forEach(task -> worker.end(task, kind));
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    private List<CallerReply> stateSeenBy(String host) {
        List<CallerReply> state = session.call(host, new CallerOperation.Ask(), JOB_PATH);
        session.advance(Duration.ofMillis(100));
        return state;
    }
}
