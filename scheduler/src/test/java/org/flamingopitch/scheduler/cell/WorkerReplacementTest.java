package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A worker that answers at the address of a former worker proves that the former one has ended with its runs. */
final class WorkerReplacementTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final long MILLI_CORES = 4_000;

    private final CellSession session = new CellSession();

    @BeforeEach
    void startLongRunningTask() {
        session.addWorker("w1", MILLI_CORES);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, true)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(4));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    private void replaceWorker() {
        FakeWorker former = session.worker("w1");
        former.crash();
        session.advance(Duration.ofMillis(3_200));
        session.removeWorker("w1");
        session.addWorker("w2", former.address(), MILLI_CORES);
    }

    @Test
    void runsOfAReplacedWorkerRestartBeforeItsLeaseExpires() {
        replaceWorker();
        session.advance(Duration.ofMillis(1_200));
        assertThat(session.worker("w2").started()).containsExactly(JOB_ID + ".0.0.0/2");
    }

    @Test
    void runsOfAWorkerReplacedDuringATakeoverRestartBeforeFormerLeasesExpire() {
        session.killHost(session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2");
        session.store().endLeases();
        replaceWorker();
        session.advance(Duration.ofMillis(1_200));
        assertThat(session.worker("w2").started()).containsExactly(JOB_ID + ".0.0.0/2");
    }

    @Test
    void runsOfACutOffWorkerDoNotEndWhenAnotherWorkerJoins() {
        session.worker("w1").setUnresponsive(true);
        session.addWorker("w2", MILLI_CORES);
        session.advance(Duration.ofSeconds(4));
        assertThat(session.worker("w1").running()).extracting(TaskRef::toString).containsExactly(JOB_ID + ".0.0.0");
        assertThat(session.worker("w2").started()).isEmpty();
    }
}
