package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a long-running task that waits is started once a worker has capacity for it. */
final class WaitingLongRunningTaskTest {

    /** The platform counts a long-running task as lost after this time with capacity for it. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);

    private static final String JOB_ID = "00000000000000cc";

    private static final String OTHER_JOB_ID = "00000000000000bb";

    private final CellSession session = new CellSession();

    @BeforeEach
    void startHostAndWorkers() {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    private void submit(String job, JobSpec spec) {
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + job);
    }

    private FakeWorker runAloneOnOneWorker(String job) {
        submit(job, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(job)).hasSize(1);
        return session.worker(session.worker("w1").running().isEmpty() ? "w1" : "w2");
    }

    @Test
    void taskStartsWhenTheQuarantineOfTheOnlyWorkerWithCapacityEnds() {
        FakeWorker free = runAloneOnOneWorker(OTHER_JOB_ID);
        free.setStartsLost(true);
        submit(JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(2_500));
        free.setStartsLost(false);
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void taskStartsWhenTheEntryOfTheOnlyWorkerWithCapacityIsBack() {
        FakeWorker free = runAloneOnOneWorker(OTHER_JOB_ID);
        free.setListed(false);
        session.advance(Duration.ofSeconds(5));
        submit(JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.running(JOB_ID)).isEmpty();
        free.setListed(true);
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }
}
