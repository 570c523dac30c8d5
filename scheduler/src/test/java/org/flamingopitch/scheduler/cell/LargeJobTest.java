package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A job with many tasks must not exceed what the store accepts, as no job could be committed any more. */
final class LargeJobTest {

    private static final String LARGE_JOB = "00000000000000aa";

    private static final String SMALL_JOB = "00000000000000bb";

    /** The store's limit for all of these tests; the job below has about 100 bytes a task. */
    private static final int MAX_VALUE_BYTES = 20_000;

    private static final int TASKS = 900;

    private final CellSession session = new CellSession();

    private FakeWorker worker;

    @BeforeEach
    void startCell() {
        session.store().setMaxValueBytes(MAX_VALUE_BYTES);
        worker = session.addWorker("w1", 16_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    private List<CallerReply> submit(String id, int tasks) {
        return session.call("h1", new CallerOperation.Submit(CellSession.job(tasks, 10, false)), "/q/" + id);
    }

    private List<CallerReply> state(String host, String id) {
        List<CallerReply> state = session.call(host, new CallerOperation.Ask(), "/q/" + id);
        session.advance(Duration.ofMillis(200));
        return state;
    }

    private void endRunning(EndKind kind) {
        for (TaskRef task : Set.copyOf(worker.running())) {
            worker.end(task, kind);
        }
    }

    @Test
    void jobWithManyTasksIsDoneBesideASmallOne() {
        List<CallerReply> accepted = submit(LARGE_JOB, TASKS);
        session.advance(Duration.ofSeconds(2));
        assertThat(accepted).containsExactly(new CallerReply.Done());
        assertThat(worker.running()).hasSize(TASKS);
        submit(SMALL_JOB, 1);
        session.advance(Duration.ofSeconds(1));
        assertThat(session.running(SMALL_JOB)).hasSize(1);
        endRunning(EndKind.DONE);
        session.advance(Duration.ofSeconds(3));
        assertThat(state("h1", LARGE_JOB)).containsExactly(new CallerReply.State(JobState.DONE));
        assertThat(state("h1", SMALL_JOB)).containsExactly(new CallerReply.State(JobState.DONE));
        assertThat(worker.ended()).isEmpty();
        assertThat(worker.started()).hasSize(TASKS + 1);
    }

    /** A successor that lost a part of the progress would start its tasks again. */
    @Test
    void successorContinuesAJobWithManyTasksAndStartsNoneTwice() {
        submit(LARGE_JOB, TASKS);
        session.advance(Duration.ofSeconds(2));
        worker.running().stream().filter(task -> task.index() % 3 != 0).forEach(task -> worker.end(task, EndKind.DONE));
        session.advance(Duration.ofMillis(1_500));
        String survivor = ownerIs("h1") ? "h2" : "h1";
        session.killHost(ownerIs("h1") ? "h1" : "h2");
        session.store().endLeases();
        session.advance(Duration.ofSeconds(3));
        endRunning(EndKind.DONE);
        session.advance(Duration.ofSeconds(3));
        assertThat(worker.started()).hasSize(TASKS);
        assertThat(state(survivor, LARGE_JOB)).containsExactly(new CallerReply.State(JobState.DONE));
    }

    /** After the end is stored, the parts of an open job must not hide it, and none may be left behind. */
    @Test
    void cancelledJobWithManyTasksStaysCancelledAndLeavesOneRecordOfItsProgress() {
        submit(LARGE_JOB, TASKS);
        session.advance(Duration.ofSeconds(2));
        List<CallerReply> cancelled = session.call("h1", new CallerOperation.Cancel(), "/q/" + LARGE_JOB);
        session.advance(Duration.ofSeconds(3));
        assertThat(cancelled).containsExactly(new CallerReply.Done());
        assertThat(worker.running()).isEmpty();
        assertThat(session.store().keys("flamingopitch/progress/")).hasSize(1);
        session.killHost(ownerIs("h1") ? "h1" : "h2");
        session.store().endLeases();
        session.advance(Duration.ofSeconds(3));
        String survivor = ownerIs("h1") ? "h1" : "h2";
        assertThat(state(survivor, LARGE_JOB)).containsExactly(new CallerReply.State(JobState.CANCELLED));
        session.advance(Duration.ofSeconds(130));
        assertThat(session.store().keys("flamingopitch/progress/")).isEmpty();
        assertThat(session.store().keys("flamingopitch/job/")).isEmpty();
    }

    private boolean ownerIs(String host) {
        return session.store().value("flamingopitch/owner/cell").contains(host);
    }
}
