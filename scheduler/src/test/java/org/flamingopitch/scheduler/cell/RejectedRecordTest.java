package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A record that the store does not accept must fail its own job, and not stop the commits of all others. */
final class RejectedRecordTest {

    private static final String REJECTED_JOB = "00000000000000aa";

    private static final String OTHER_JOB = "00000000000000bb";

    /** Enough for the record of a failed job, and too little for one that lists a task. */
    private static final int FAILURE_BYTES = 20;

    private final CellSession session = new CellSession();

    private FakeWorker worker;

    @BeforeEach
    void startCell() {
        worker = session.addWorker("w1", 16_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    private List<CallerReply> submit(String id, JobSpec spec) {
        return session.call("h1", new CallerOperation.Submit(spec), "/q/" + id);
    }

    private List<CallerReply> state(String id) {
        List<CallerReply> state = session.call("h1", new CallerOperation.Ask(), "/q/" + id);
        session.advance(Duration.ofMillis(200));
        return state;
    }

    private void expectOtherJobDone() {
        assertThat(session.running(OTHER_JOB)).hasSize(2);
        session.running(OTHER_JOB).forEach(task -> worker.end(task, EndKind.DONE));
        session.advance(Duration.ofSeconds(1));
        assertThat(state(OTHER_JOB)).containsExactly(new CallerReply.State(JobState.DONE));
        session.advance(Duration.ofSeconds(2));
        assertThat(worker.ended()).isEmpty();
    }

    @Test
    void jobWhoseDefinitionIsRejectedIsRefusedAndNeverRuns() {
        session.store().setRejectedKeys(key -> key.equals("flamingopitch/job/" + REJECTED_JOB));
        List<CallerReply> rejected = submit(REJECTED_JOB, CellSession.job(2, 1_000, false));
        List<CallerReply> accepted = submit(OTHER_JOB, CellSession.job(2, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(rejected).hasSize(1).allMatch(reply -> reply instanceof CallerReply.Refused);
        assertThat(accepted).containsExactly(new CallerReply.Done());
        expectOtherJobDone();
        assertThat(worker.started()).noneMatch(run -> run.startsWith(REJECTED_JOB));
        assertThat(state(REJECTED_JOB)).containsExactly(new CallerReply.NoJob());
    }

    /** No start may be sent before it is stored, and the job must not wait for ever. */
    @Test
    void jobWhoseProgressIsRejectedFailsAndNeverRuns() {
        session.store().setRejectedKeys(key -> key.equals("flamingopitch/progress/" + REJECTED_JOB + "/1"));
        List<CallerReply> accepted = submit(REJECTED_JOB, CellSession.job(100, 10, false));
        submit(OTHER_JOB, CellSession.job(2, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        assertThat(accepted).hasSize(1);
        assertThat(state(REJECTED_JOB)).containsExactly(new CallerReply.State(JobState.FAILED));
        expectOtherJobDone();
        assertThat(worker.running()).isEmpty();
    }

    @Test
    void rejectedStatisticsDoNotStopTheCommits() {
        session.store().setRejectedKeys(key -> key.equals("flamingopitch/learned"));
        session.advance(Duration.ofSeconds(4));
        submit(REJECTED_JOB, CellSession.job(1, 1_000, true));
        submit(OTHER_JOB, CellSession.job(2, 1_000, false));
        session.advance(Duration.ofSeconds(1));
        expectOtherJobDone();
    }

    /** A worker forgets an acknowledged end; a successor that finds neither the end nor the failure would run the task. */
    @Test
    void endIsNotAcknowledgedBeforeTheFailureOfItsJobIsStored() {
        JobSpec spec = new JobSpec(
                "work",
                List.of(SampleSteps.step(1, 1_000, false, List.of()), SampleSteps.step(1, 1_000, false, List.of(0))),
                0,
                0,
                0);
        submit(REJECTED_JOB, spec);
        session.advance(Duration.ofSeconds(1));
        assertThat(session.running(REJECTED_JOB)).hasSize(1);
        session.store().setMaxValueBytes(FAILURE_BYTES);
        session.running(REJECTED_JOB).forEach(task -> worker.end(task, EndKind.DONE));
        String progress = "flamingopitch/progress/" + REJECTED_JOB;
        for (int i = 0; i < 400; i++) {
            session.advance(Duration.ofMillis(5));
            boolean stored = session.store().value(progress).contains("FAILED");
            assertThat(stored || !worker.ended().isEmpty()).isTrue();
        }
        assertThat(worker.ended()).isEmpty();
        assertThat(worker.started()).hasSize(1);
    }
}
